#ifndef AUBURNWEIR_BENCH_LOAD_HPP
#define AUBURNWEIR_BENCH_LOAD_HPP

#include "support/caller.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnweir::bench
{

/// Measurements of one run.
struct load_result
{
    std::vector<double> first_byte_ms; ///< time to the first byte of each response body
    std::int64_t tokens = 0;           ///< received, counted by their `"content"` fields
    int failures = 0;                  ///< requests without a complete 200 response
    double seconds = 0;                ///< duration of the run
};

/// Request that a run sends repeatedly.
struct load_request
{
    std::uint16_t port = 0;
    std::string target;
    tests::header_list headers;
    std::string body;
};

/// Sends `count` requests, `concurrency` at a time, and reads each response completely.
load_result run_load(load_request const& request, int count, int concurrency);

/// CPU time and resident memory of a process.
struct process_usage
{
    double cpu_seconds; ///< user and system time since its start
    double rss_bytes;
};

process_usage usage_of(int pid);

double quantile(std::vector<double> values, double q);

/// Line of a least-squares fit.
struct line_fit
{
    double slope;
    double offset;
};

line_fit fit_line(std::vector<std::pair<double, double>> const& points);

} // namespace auburnweir::bench

#endif
