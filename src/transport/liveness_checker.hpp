#ifndef AUBURNWEIR_TRANSPORT_LIVENESS_CHECKER_HPP
#define AUBURNWEIR_TRANSPORT_LIVENESS_CHECKER_HPP

#include "coordination/liveness_check.hpp"
#include "transport/async_signal.hpp"
#include "transport/http_client.hpp"

#include <compare>
#include <functional>
#include <map>
#include <memory>

namespace auburnweir::transport
{

/// One lifetime of a server at an address.
struct server_life
{
    state::backend_id id;
    state::incarnation_number incarnation;
    state::endpoint address;

    friend auto operator<=>(server_life const&, server_life const&) = default;
};

/// A server and how it is asked whether its process runs. No question may run work of callers.
struct asked_server
{
    server_life life;
    std::function<http_request(state::request_id const&)> make_question;
    /// Which request a response names; empty: none.
    std::function<state::request_id(http_fields const&)> request_named_by;
    std::function<coordination::question_result(http_response const&)> read_answer;
};

/// Finds out whether servers' processes have outlived their responses, see
/// `coordination::liveness_check`.
///
/// A question is sent on a connection that was opened while a response was still arriving, as a
/// successor at the address can't answer there, or on a new one if there is none. Not thread-safe:
/// used by one worker.
class liveness_checker
{
public:
    /// Servers of which something is kept; beyond, the one that was used least recently is
    /// forgotten.
    static constexpr std::size_t max_servers = 1024;

    /// Idle connections for questions. Servers beyond are asked on new ones.
    static constexpr std::size_t max_witnesses = 128;

    /// Connections are kept for this long after their server's last response that ended with its
    /// connection.
    static constexpr state::duration max_unused_time = std::chrono::seconds{60};

    liveness_checker(net::io_context& io, http_client& http);

    /// Opens a connection for questions, as a response has begun that ends with its connection.
    void prepare(asked_server const& server);

    /// Whether the server's process has outlived a response that has just ended with its
    /// connection.
    /// @param requested_at  when the response's request was sent
    /// @param deadline      false when that is not known until then
    net::awaitable<bool> has_outlived(
        asked_server server, state::time_point requested_at, state::time_point deadline);

    /// Closes connections that were not used for long.
    void close_unused();

    /// Closes all idle connections, to get their descriptors.
    void close_idle();

    /// Number of questions that were sent since the last call.
    std::uint64_t take_questions() { return std::exchange(questions_, 0); }

private:
    struct waiting_call
    {
        explicit waiting_call(net::io_context& io)
            : decided(std::make_shared<async_signal>(io))
        {
        }

        signal_ptr decided;
        coordination::process_state process = coordination::process_state::unknown;
    };

    struct checked_server
    {
        asked_server server;
        coordination::liveness_check check;
        std::map<coordination::end_number, std::shared_ptr<waiting_call>> calls;
        http_connection_ptr witness; ///< idle; null when there is none
        bool is_opening = false;     ///< of the witness
        state::time_point no_witness_until{};
        bool is_asking = false;
        state::time_point used_at{};
    };

    using checked_server_ptr = std::shared_ptr<checked_server>;

    struct answered_question
    {
        http_response answer;
        http_connection_ptr kept; ///< null when the connection can't be used again
    };

    checked_server_ptr entry_of(asked_server const& server);
    void forget_least_recently_used();
    std::size_t witnesses() const;
    /// Opens a connection and keeps it once a question is answered on it. An idle connection would
    /// block a server that serves one connection at a time.
    net::awaitable<void> open_witness(checked_server_ptr checked);
    net::awaitable<std::optional<answered_question>> exchange(
        checked_server_ptr checked, http_connection_ptr c);
    /// Asks until no end is left to decide.
    net::awaitable<void> ask_repeatedly(checked_server_ptr checked);
    net::awaitable<coordination::question_result> ask(checked_server_ptr checked);
    net::awaitable<coordination::question_result> ask_on(
        checked_server_ptr checked, http_connection_ptr c);
    static void settle(
        checked_server& checked, std::vector<coordination::decided_end> const& decided);

    net::io_context& io_;
    http_client& http_;
    std::map<server_life, checked_server_ptr> servers_;
    coordination::end_number last_end_{0};
    std::string question_prefix_; ///< of the ids of questions, unique to this worker's life
    std::uint64_t last_question_ = 0;
    std::uint64_t questions_ = 0;
};

} // namespace auburnweir::transport

#endif
