#ifndef AUBURNWEIR_TRANSPORT_CHAT_DRIVER_HPP
#define AUBURNWEIR_TRANSPORT_CHAT_DRIVER_HPP

#include "coordination/resume_planner.hpp"
#include "protocol/sse.hpp"
#include "transport/entry_context.hpp"

#include <optional>
#include <set>
#include <variant>

namespace auburnweir::transport
{

/// Drives a chat request to the end of its answer, on several engines if necessary.
///
/// The driver appends engines' tokens to the journal, from which callers read them. It stops early
/// when the answer has no reader, the deadline passes, or another instance has adopted the request.
/// The answer fails when an engine rejects the request or when no retry is left.
class chat_driver : public std::enable_shared_from_this<chat_driver>
{
public:
    chat_driver(
        entry_context& context, worker& home, state::journal_ptr journal, admission_slot slot);

    /// Sets the request's deadline; without one the duration is not limited.
    void set_deadline(std::optional<state::time_point> deadline) { deadline_ = deadline; }

    /// Continues even if nobody reads the answer.
    void continue_without_reader() { needs_reader_ = false; }

    /// Spawns `run` on the worker.
    void start();

    net::awaitable<void> run();

private:
    struct attempt_finished
    {
    };
    struct attempt_stopped ///< no reader, past the deadline, or superseded
    {
    };
    struct attempt_rejected ///< the engine responded with a client error
    {
    };
    struct attempt_migrated ///< the engine is leaving; `kv_handle` is set if its cache was exported
    {
        std::string kv_handle;
    };
    struct attempt_failed
    {
        state::retry_reason reason;
    };
    using attempt_outcome = std::variant<
        attempt_finished, attempt_stopped, attempt_rejected, attempt_migrated, attempt_failed>;

    std::optional<state::backend_view> choose_backend();

    /// Runs an attempt and handles its outcome. @return true when another attempt is needed
    net::awaitable<bool> perform_attempt(state::backend_view backend);
    net::awaitable<attempt_outcome> run_attempt(state::backend_view backend);
    net::awaitable<attempt_outcome> read_answer(
        state::backend_view backend, http_stream& stream, state::attempt_token token);

    /// Handles the complete events in `parser`. @return null when the answer goes on
    std::optional<attempt_outcome> handle_events(
        protocol::sse_parser& parser, state::attempt_token const& token);

    /// Checks the stop conditions and whether to leave the engine. @return null to read on
    net::awaitable<std::optional<attempt_outcome>> check_progress(
        state::backend_view backend, state::attempt_token token, http_stream& stream);

    /// @return the handle for the import at another engine, or null
    net::awaitable<std::optional<std::string>> export_kv_cache(
        state::backend_view backend, state::attempt_token token, http_stream& stream);

    /// Waits before a retry. @return true when another attempt is needed
    net::awaitable<bool> handle_failed_attempt(
        state::backend_view backend, state::retry_reason reason);
    net::awaitable<void> wait_for_reader();

    coordination::resume_plan plan_resume_from(state::backend_view const& leaving);
    attempt_outcome classify_status(state::backend_view const& backend, http_stream const& stream);
    void record_reported_load(state::backend_view const& backend, http_fields const& headers);
    void count_resumption(state::backend_view const& next);
    bool is_abandoned() const;
    bool is_past_deadline() const;
    bool is_owned_elsewhere() const;
    state::duration read_timeout() const;

    entry_context& context_;
    worker& worker_;
    state::journal_ptr journal_;
    admission_slot slot_;
    activity_count::scope activity_;
    std::optional<state::time_point> deadline_;
    bool needs_reader_ = true;

    coordination::routing_request routing_;
    std::string kv_handle_;
    int attempt_count_ = 0;
    int failure_count_ = 0;
    state::time_point attempt_started_at_{};
    bool first_token_recorded_ = false;
    state::time_point next_plan_at_{};
    std::optional<state::backend_view> previous_;
};

} // namespace auburnweir::transport

#endif
