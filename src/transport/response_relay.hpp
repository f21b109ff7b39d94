#ifndef AUBURNWEIR_TRANSPORT_RESPONSE_RELAY_HPP
#define AUBURNWEIR_TRANSPORT_RESPONSE_RELAY_HPP

#include "transport/gateway_context.hpp"
#include "transport/reply_writer.hpp"

namespace auburnweir::transport
{

/// How the relay of an answer ended.
enum class relay_result : std::uint8_t
{
    complete,    ///< the caller has the whole answer
    interrupted, ///< the server's answer ended early or was silent for too long
    timed_out,   ///< no time is left
    caller_left
};

/// One request, as far as the relay of its answer needs to know it.
struct relayed_request
{
    state::time_point arrived_at{};
    state::time_point deadline{};
    std::function<bool()>
        may_resume_elsewhere; ///< whether a silent stream may go on elsewhere; empty: never
    std::shared_ptr<call_cancel> cancel;
};

/// Passes answers of backend servers on to a caller. A stream that goes on at another server keeps
/// the header of its first one.
class response_relay
{
public:
    response_relay(gateway_context& context, reply_writer& writer, relayed_request request);

    /// Reads the whole answer, then passes it on.
    net::awaitable<relay_result> relay_buffered(http_stream& response);

    /// Passes events on as they come whole.
    net::awaitable<relay_result> relay_stream(http_stream& response);

    /// The caller has got a part of an answer.
    bool has_started() const { return started_; }

    /// Id of the last event that was passed on; empty before the first.
    std::string const& last_event_id() const { return last_event_id_; }

private:
    caller_reply response_header(http_stream const& response) const;
    state::duration time_left() const;

    gateway_context& context_;
    reply_writer& writer_;
    relayed_request request_;
    bool started_ = false;
    std::string last_event_id_;
};

} // namespace auburnweir::transport

#endif
