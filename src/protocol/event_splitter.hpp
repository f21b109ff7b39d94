#ifndef AUBURNWEIR_PROTOCOL_EVENT_SPLITTER_HPP
#define AUBURNWEIR_PROTOCOL_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Splits an event stream into complete events without changing their bytes.
///
/// A line ends with LF, CRLF or CR, and an event with an empty line. A CR that is the last byte so
/// far may be the first half of a CRLF. It ends its line at once only in a stream that has used CR
/// alone before; in others the next byte decides, and a stream that stops there stops inside a
/// line.
class event_splitter
{
public:
    /// Maximum length of an event, in bytes.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// Adds received bytes.
    /// @return false when an event without an end is longer than `max_event_bytes`
    bool feed(std::string_view bytes);

    /// Removes and returns the complete events that are buffered; empty when there is none.
    std::string take_complete_events();

    /// Memory of the buffered bytes.
    std::size_t capacity() const { return buffer_.capacity(); }

    /// Removes and returns the bytes after the last complete event. At the end of a stream they
    /// belong to the response, although they are no event.
    std::string take_remainder();

    /// Whether the bytes after the last complete event are more than whole comment lines: the start
    /// of an event, or of a line.
    bool is_inside_event() const { return event_has_fields_ || line_begin_ < buffer_.size(); }

    /// Id of the last complete event that has one; empty before the first.
    std::string const& last_id() const { return last_id_; }

    /// Whether the last call of `take_complete_events` returned more than comments, which servers
    /// send to keep a connection open.
    bool last_had_content() const { return last_content_events_ > 0; }

    /// Number of events with more than comments that the last call of `take_complete_events`
    /// returned.
    std::size_t last_content_events() const { return last_content_events_; }

private:
    /// Finds the ends of the lines that have not been searched yet.
    void scan_lines();
    /// Ends a line at the CR before the byte that is scanned next.
    void end_line_after_cr();
    /// Adds a LF to the end of a line that its CR has ended already.
    void extend_last_line_end();
    void find_line_end();
    void end_line(std::size_t end, std::size_t next_begin);
    void end_event(std::size_t next_begin);
    void record_field(std::string_view line);

    std::string buffer_;
    std::size_t complete_ = 0;      ///< length of the complete events at the start of `buffer_`
    std::size_t scanned_ = 0;       ///< length of the part that was searched for line ends
    std::size_t line_begin_ = 0;    ///< of the line that has not ended
    bool follows_cr_ = false;       ///< the last scanned byte is a CR that did not end its line yet
    bool skips_lf_ = false;         ///< a LF at `line_begin_` belongs to the line before
    bool uses_bare_cr_ = false;     ///< a line of the stream ended with CR alone
    bool event_has_fields_ = false; ///< in the lines after the last complete event
    std::string event_id_;          ///< of the event that is not complete
    bool event_has_id_ = false;
    std::string last_id_;
    std::size_t content_events_ = 0; ///< complete and not taken
    std::size_t last_content_events_ = 0;
};

} // namespace auburnweir::protocol

#endif
