#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs only what the deploy
# file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/case.cpp; do
  [ -e "$source" ] || continue
  folder=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review/common \
    "$source" -o "review/bin/case$folder"
done
