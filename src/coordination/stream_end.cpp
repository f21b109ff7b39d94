#include "coordination/stream_end.hpp"

namespace auburnweir::coordination
{

stream_end_kind classify_stream_end(stream_end const& end)
{
    if (end.proof == body_proof::none)
        return stream_disconnected{};
    if (!end.is_event_stream)
        return stream_completed{};
    bool const stops_early = end.is_inside_event || !end.has_events;
    bool const may_have_nothing_left = end.is_resumed && !end.has_begun_next_event;
    bool const has_nothing_left = may_have_nothing_left && !end.has_events && !end.is_inside_event;
    if (stops_early && !has_nothing_left)
        return stream_truncated{};
    return stream_completed{};
}

} // namespace auburnweir::coordination
