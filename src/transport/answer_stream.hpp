#ifndef AUBURNWEIR_TRANSPORT_ANSWER_STREAM_HPP
#define AUBURNWEIR_TRANSPORT_ANSWER_STREAM_HPP

#include "state/journal.hpp"
#include "transport/caller_handler.hpp"

namespace auburnweir::transport
{

/// Streams a journal's answer to the caller as server-sent events, from a resume point on.
/// @return false when the caller has left
net::awaitable<bool> stream_answer(
    caller_call& call, state::journal_ptr journal, state::resume_point from);

/// Waits for the end of a journal's answer and sends it in one response.
/// @return false when the caller has left
net::awaitable<bool> send_whole_answer(caller_call& call, state::journal_ptr journal);

} // namespace auburnweir::transport

#endif
