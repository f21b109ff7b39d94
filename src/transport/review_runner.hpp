#ifndef AUBURNWEIR_TRANSPORT_REVIEW_RUNNER_HPP
#define AUBURNWEIR_TRANSPORT_REVIEW_RUNNER_HPP

#include "coordination/review_claims.hpp"
#include "transport/entry_context.hpp"

#include <atomic>
#include <string>

namespace auburnweir::transport
{

/// Claims stored deferrable requests under a lease and runs them.
///
/// Any instance may run any of them; one that dies leaves its claim to lapse. Runs on the home
/// worker.
class review_runner
{
public:
    explicit review_runner(entry_context& context);

    /// Looks for requests to run. Call it regularly.
    void scan();

private:
    net::awaitable<void> scan_rows();
    net::awaitable<void> try_claim(state::table_row row);
    net::awaitable<void> run(state::review_record claim, state::row_version version);
    net::awaitable<std::optional<std::string>> generate_answer(
        state::review_record& claim, state::row_version& version);
    net::awaitable<bool> renew_claim(state::review_record& claim, state::row_version& version);

    entry_context& context_;
    worker& worker_;
    coordination::review_settings settings_;
    std::string cursor_; ///< last key seen; scans go round
    bool scanning_ = false;
    int running_count_ = 0;
    int skipped_scans_ = 0;
};

} // namespace auburnweir::transport

#endif
