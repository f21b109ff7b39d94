#include "coordination/stream_end.hpp"

namespace auburnweir::coordination
{

stream_end_kind classify_stream_end(stream_end const& end)
{
    bool const stops_early = end.is_inside_event || !end.has_events;
    if (end.framing == body_framing::connection)
        return stops_early ? stream_end_kind{stream_disconnected{}} : stream_completed{};
    if (!end.is_event_stream)
        return stream_completed{};
    bool const has_nothing_left = end.is_resumed && !end.has_events && !end.is_inside_event;
    if (stops_early && !has_nothing_left)
        return stream_truncated{};
    return stream_completed{};
}

} // namespace auburnweir::coordination
