#ifndef AUBURNWEIR_TRANSPORT_EVENT_SPLITTER_HPP
#define AUBURNWEIR_TRANSPORT_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>
#include <utility>

namespace auburnweir::transport
{

/// Splits an event stream into complete events without changing their bytes.
class event_splitter
{
public:
    /// Maximum length of an event, in bytes.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// Adds received bytes.
    /// @return false when an event without an end is longer than `max_event_bytes`
    bool feed(std::string_view bytes)
    {
        // An event's end may be split over two reads, so the last buffered byte is searched again.
        auto const unsearched = buffer_.empty() ? 0 : buffer_.size() - 1;
        buffer_.append(bytes);
        auto const end = std::string_view{buffer_}.substr(unsearched).rfind(event_end);
        if (end != std::string_view::npos)
            complete_ = unsearched + end + event_end.size();
        return buffer_.size() - complete_ <= max_event_bytes;
    }

    /// Removes and returns the complete events that are buffered; empty when there is none.
    std::string take_complete_events()
    {
        last_content_events_ = 0;
        if (complete_ == 0)
            return {};
        // The rest is short, so it is copied and not the events.
        auto rest = buffer_.substr(complete_);
        buffer_.resize(complete_);
        complete_ = 0;
        auto events = std::exchange(buffer_, std::move(rest));
        inspect_lines(events);
        return events;
    }

    /// Memory of the buffered bytes.
    std::size_t capacity() const { return buffer_.capacity(); }

    /// Removes and returns the bytes after the last complete event. At the end of a stream they
    /// belong to the response, although they are no event.
    std::string take_remainder()
    {
        complete_ = 0;
        return std::exchange(buffer_, {});
    }

    /// Whether bytes of an event have come that is not complete.
    bool is_inside_event() const { return buffer_.size() > complete_; }

    /// Id of the last complete event; empty before the first.
    std::string const& last_id() const { return last_id_; }

    /// Whether the last call of `take_complete_events` returned more than comments, which servers
    /// send to keep a connection open.
    bool last_had_content() const { return last_content_events_ > 0; }

    /// Number of events with more than comments that the last call of `take_complete_events`
    /// returned.
    std::size_t last_content_events() const { return last_content_events_; }

private:
    static constexpr std::string_view event_end = "\n\n";

    void inspect_lines(std::string_view events)
    {
        constexpr std::string_view field = "id:";
        bool event_has_content = false;
        for (std::size_t begin = 0; begin < events.size();)
        {
            auto const end = events.find('\n', begin);
            auto line = events.substr(begin, end - begin);
            begin = end == std::string_view::npos ? events.size() : end + 1;
            bool const is_comment = line.starts_with(':');
            if (!line.empty() && !is_comment && !std::exchange(event_has_content, true))
                ++last_content_events_;
            if (line.empty())
                event_has_content = false;
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            last_id_ = std::string{line};
        }
    }

    std::string buffer_;
    std::size_t complete_ = 0; ///< length of the complete events at the start of `buffer_`
    std::string last_id_;
    std::size_t last_content_events_ = 0;
};

} // namespace auburnweir::transport

#endif
