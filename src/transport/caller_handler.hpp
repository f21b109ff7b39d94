#ifndef AUBURNWEIR_TRANSPORT_CALLER_HANDLER_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_HANDLER_HPP

#include "protocol/request_head.hpp"
#include "transport/entry_context.hpp"
#include "transport/response_writer.hpp"

#include <string>

namespace auburnweir::transport
{

/// A caller's request and the objects that its handler uses.
struct caller_call
{
    entry_context& context;
    worker& home; ///< worker that serves the caller's connection
    response_writer& writer;
    state::configuration_ptr config;
    state::organisation const& organisation;
    protocol::request_head head;
    std::string body;
    bool accepts_event_stream; ///< from the `Accept` header

    /// Null when the caller set no timeout.
    std::optional<state::time_point> deadline;
};

/// Counts a refusal and sends it to the caller.
/// @return false when the caller has left
net::awaitable<bool> refuse(caller_call& call, protocol::problem p);

/// Handles a chat completion, immediate or deferrable.
net::awaitable<bool> handle_chat(caller_call& call);

/// Handles an operation of a plain service.
net::awaitable<bool> handle_operation(caller_call& call, protocol::operation_route route);

/// Sends the answer of an earlier chat request, from its beginning or from a resume point.
net::awaitable<bool> handle_answer(caller_call& call, protocol::answer_route route);

} // namespace auburnweir::transport

#endif
