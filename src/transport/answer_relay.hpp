#ifndef AUBURNWEIR_TRANSPORT_ANSWER_RELAY_HPP
#define AUBURNWEIR_TRANSPORT_ANSWER_RELAY_HPP

#include "transport/gateway_context.hpp"
#include "transport/reply_writer.hpp"

namespace auburnweir::transport
{

/// How the relay of an answer ended.
enum class relay_end : std::uint8_t
{
    whole,     ///< the caller has the whole answer
    broken,    ///< the server's answer ended early or was silent for too long
    timed_out, ///< no time is left
    caller_gone
};

/// One request, as far as the relay of its answer needs to know it.
struct relayed_request
{
    state::time_point arrived{};
    state::time_point deadline{};
    std::function<bool()> may_leave; ///< whether a silent stream may go on elsewhere; empty: never
    std::shared_ptr<call_cancel> cancel;
};

/// Passes answers of backend servers on to a caller. A stream that goes on at another server keeps
/// the header of its first one.
class answer_relay
{
public:
    answer_relay(gateway_context& context, reply_writer& writer, relayed_request request);

    /// Reads the whole answer, then passes it on.
    net::awaitable<relay_end> relay_whole(http_stream& answer);

    /// Passes events on as they come whole.
    net::awaitable<relay_end> relay_stream(http_stream& answer);

    /// The caller has got a part of an answer.
    bool begun() const { return begun_; }

    /// Id of the last event that was passed on; empty before the first.
    std::string const& last_event() const { return last_event_; }

private:
    caller_reply head_of(http_stream const& answer) const;
    state::duration time_left() const;

    gateway_context& context_;
    reply_writer& writer_;
    relayed_request request_;
    bool begun_ = false;
    std::string last_event_;
};

} // namespace auburnweir::transport

#endif
