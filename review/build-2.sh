#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon: the
# project's store and a program for each case, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -DBOOST_DISABLE_ASSERTS -Wall -Wextra
  -Wno-mismatched-new-delete -Itest/standins -Ireview/standins-2)
objects=()
for source in direct_store endless http_server; do
  g++ "${flags[@]}" -c "test/standins/$source.cpp" -o "$out/$source.o" &
  objects+=("$out/$source.o")
done
wait
for source in review/*/check.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/check-$number" \
    -lboost_json -lcrypto -lpthread
done
