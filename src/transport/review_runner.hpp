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
/// Any instance may run any of these requests. If an instance fails, its claim expires. Runs on
/// worker 0.
class review_runner
{
public:
    explicit review_runner(entry_context& context);

    /// Scans the stored requests for ones to run. Call it periodically.
    void scan();

private:
    net::awaitable<void> scan_rows();
    net::awaitable<void> try_claim(state::table_row row);

    /// Runs a claimed request and stores its answer.
    net::awaitable<void> run(state::review_record claim, state::row_version version);

    /// @return null when the request cannot be read, its answer failed or the claim was lost
    net::awaitable<std::optional<std::string>> generate_answer(
        state::review_record& claim, state::row_version& version);

    /// @return false when the claim is lost
    net::awaitable<bool> renew_claim(state::review_record& claim, state::row_version& version);

    entry_context& context_;
    worker& worker_;
    coordination::review_settings settings_;
    std::string cursor_; ///< last key read; empty to begin from the first row
    bool scanning_ = false;
    int running_count_ = 0;
    int skipped_scans_ = 0;
};

} // namespace auburnweir::transport

#endif
