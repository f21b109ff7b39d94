#ifndef AUBURNWEIR_COORDINATION_STREAM_END_HPP
#define AUBURNWEIR_COORDINATION_STREAM_END_HPP

#include <cstdint>
#include <variant>

namespace auburnweir::coordination
{

/// What shows that a response's body is whole.
enum class body_proof : std::uint8_t
{
    delimited, ///< a length or a last chunk
    outlived,  ///< the server has run on after the connection's end, which ended the body
    none       ///< the connection's end alone
};

/// What is known of a server's stream when its body has ended.
struct stream_end
{
    body_proof proof = body_proof::delimited;
    bool is_event_stream = true; ///< not declared as content of another type
    bool is_resumed = false;     ///< the request asked for the events after one that it has
    bool has_events = false;     ///< at least one event is complete
    bool is_inside_event = false;

    /// An earlier run broke off inside the event that follows the caller's last one, so that a
    /// resumed run has at least that one left.
    bool has_begun_next_event = false;
};

/// The server has sent its last event.
struct stream_completed
{
};

/// The server marked the end of the body before that of the stream, and still runs as far as the
/// response shows.
struct stream_truncated
{
};

/// The connection ended, and the server may have ended as well.
struct stream_disconnected
{
};

using stream_end_kind = std::variant<stream_completed, stream_truncated, stream_disconnected>;

/// Decides whether a stream whose body has ended is complete.
///
/// The end of a body proves nothing alone: a faulty server may mark it inside an event, or before
/// the first. A run that begins to answer sends an event, but a resumed one may have none left,
/// unless the start of another is known. The end of a connection proves nothing of the body either,
/// see `liveness_check`.
stream_end_kind classify_stream_end(stream_end const& end);

} // namespace auburnweir::coordination

#endif
