#ifndef AUBURNWEIR_TRANSPORT_RESPONSE_RELAY_HPP
#define AUBURNWEIR_TRANSPORT_RESPONSE_RELAY_HPP

#include "coordination/stream_end.hpp"
#include "coordination/stream_intervals.hpp"
#include "transport/gateway_context.hpp"
#include "transport/response_writer.hpp"

namespace auburnweir::transport
{

/// How the relay of a response ended.
enum class relay_result : std::uint8_t
{
    complete,      ///< the caller received the whole response
    interrupted,   ///< the connection to the server ended early or was silent for too long
    truncated,     ///< the server marked the end of its response before the end of the stream
    malformed,     ///< the server's response has a part that is longer than allowed
    out_of_memory, ///< there is no memory left to buffer the server's response
    timed_out,     ///< the request's deadline passed
    caller_left
};

std::string_view name_of(relay_result result);

/// How an attempt with this result ended, for the server's health.
state::server_outcome outcome_of(relay_result result);

/// The properties of a request that the relay of its response uses.
struct relayed_request
{
    state::time_point arrived_at{};
    state::time_point deadline{};
    /// Whether a silent stream may resume at another server; empty: never.
    std::function<bool()> may_resume_elsewhere;
    /// Told once for each server whose stream has sent events for `answering_time`.
    std::function<void()> on_answering;
    /// Told of the times between a stream's events, while it runs and at its end.
    std::function<void(state::event_intervals const&)> on_intervals;
    std::shared_ptr<call_cancellation> cancel;
    bool is_resumed = false; ///< the caller asks for the events after one that it has
    /// Asked when a response has ended with its connection: whether its server is known to have
    /// outlived it.
    std::function<net::awaitable<bool>(state::time_point requested_at)> has_outlived;
};

/// Relays responses of backend servers to a caller. A stream that resumes at another server keeps
/// the header of its first response.
class response_relay
{
public:
    response_relay(gateway_context& context, response_writer& writer, relayed_request request);

    /// Buffers the whole response, within the memory budget, before it is sent to the caller.
    net::awaitable<relay_result> relay_buffered(http_stream& response);

    /// Forwards each event of a stream as soon as it is complete. Only events count as progress: a
    /// stream that sends other bytes is silent.
    net::awaitable<relay_result> relay_stream(http_stream& response);

    /// Whether the header of a streamed response was sent to the caller.
    bool has_started() const { return started_; }

    /// Id of the last event that was forwarded; empty before the first.
    std::string const& last_event_id() const { return last_event_id_; }

    /// A stream that has sent events for this long is answered: servers that crash under a request
    /// do so when they begin to answer it.
    static constexpr state::duration answering_time = std::chrono::seconds{1};

    /// Whether the current server has sent events for `answering_time`.
    bool is_answering() const;

    /// Number of events that the current server has sent.
    std::size_t events() const { return events_; }

    /// When the current server's first event arrived; null before it.
    std::optional<state::time_point> first_event_at() const { return first_event_at_; }

    /// Forgets the times of the server that was tried before.
    void begin_attempt();

private:
    caller_response response_header(http_stream const& response) const;
    state::duration time_left() const;
    net::awaitable<relay_result> relay_events(http_stream& response);
    /// How a stream ended whose body has ended.
    relay_result result_of_end(
        http_stream const& response, coordination::body_proof proof, bool is_inside_event);
    net::awaitable<coordination::body_proof> proof_of(http_stream const& response);
    net::awaitable<bool> begin(http_stream const& response);
    void record_events(std::size_t count);
    void report_intervals(std::optional<state::event_intervals> const& portion);

    gateway_context& context_;
    response_writer& writer_;
    relayed_request request_;
    bool started_ = false;
    std::optional<state::time_point> first_event_at_;
    std::size_t events_ = 0;
    bool has_told_of_answering_ = false;
    coordination::stream_intervals intervals_; ///< of the current server
    std::string last_event_id_;
    /// A server, perhaps of an earlier attempt, has sent the start of the event after the last.
    bool next_event_begun_ = false;
};

} // namespace auburnweir::transport

#endif
