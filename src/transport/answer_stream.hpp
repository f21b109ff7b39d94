#ifndef AUBURNWEIR_TRANSPORT_ANSWER_STREAM_HPP
#define AUBURNWEIR_TRANSPORT_ANSWER_STREAM_HPP

#include "state/journal.hpp"
#include "transport/caller_handler.hpp"

namespace auburnweir::transport
{

/// Sends a journal's answer from a point on, as it grows, as an event stream.
/// @return false when the caller is gone
net::awaitable<bool> stream_answer(
    caller_call& call, state::journal_ptr journal, state::resume_point from);

/// Waits for the end of a journal's answer and sends it whole.
net::awaitable<bool> send_whole_answer(caller_call& call, state::journal_ptr journal);

} // namespace auburnweir::transport

#endif
