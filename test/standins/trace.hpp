// What the load driver records about accounts, and the figures made of it.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/// Service and backlog of one account, sampled over time.
struct account_trace
{
    double weight = 1;
    long tokens = 0;
    int waiting = 0;
    std::vector<double> service;
    std::vector<bool> backlogged;
};

/// Largest difference in weighted service between two accounts over every
/// interval in which both were backlogged throughout.
double largest_gap(const account_trace& a, const account_trace& b);

/// The same over all pairs.
double fairness_gap(const std::map<std::string, account_trace>& accounts);

/// Value below which `fraction` of the samples lie; zero without samples.
double percentile(std::vector<double> samples, double fraction);

} // namespace standin
