#ifndef AUBURNWEIR_TRANSPORT_CALLER_HANDLER_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_HANDLER_HPP

#include "protocol/request_head.hpp"
#include "transport/entry_context.hpp"
#include "transport/reply_writer.hpp"

#include <string>

namespace auburnweir::transport
{

/// One call of one caller, with what its handler needs.
struct caller_call
{
    entry_context& context;
    worker& home;
    reply_writer& writer;
    state::configuration_ptr config;
    state::organisation const& organisation;
    protocol::request_head head;
    std::string body;
    bool accepts_event_stream; ///< the caller asked for an event stream

    /// When the caller's time is over; null without a limit.
    std::optional<state::time_point> deadline;
};

/// Counts a refusal and sends it.
/// @return false when the caller is gone
net::awaitable<bool> refuse(caller_call& call, protocol::problem p);

/// Chat completions, immediate and deferrable.
net::awaitable<bool> handle_chat(caller_call& call);

/// Operations of plain services.
net::awaitable<bool> handle_operation(caller_call& call, protocol::operation_route route);

/// Answers that are fetched or resumed.
net::awaitable<bool> handle_answer(caller_call& call, protocol::answer_route route);

} // namespace auburnweir::transport

#endif
