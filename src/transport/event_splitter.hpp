#ifndef AUBURNWEIR_TRANSPORT_EVENT_SPLITTER_HPP
#define AUBURNWEIR_TRANSPORT_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace auburnweir::transport
{

/// Splits an event stream into complete events without changing their bytes.
class event_splitter
{
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }

    /// Removes and returns the complete events that are buffered; empty when there is none.
    std::string take_complete_events()
    {
        auto const end = buffer_.rfind("\n\n");
        if (end == std::string::npos)
            return {};
        std::string events = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 2);
        record_last_id(events);
        return events;
    }

    /// Removes and returns the bytes after the last complete event. At the end of a stream they
    /// belong to the response, although they are no event.
    std::string take_remainder() { return std::exchange(buffer_, {}); }

    /// Id of the last complete event; empty before the first.
    std::string const& last_id() const { return last_id_; }

private:
    void record_last_id(std::string_view events)
    {
        constexpr std::string_view field = "id:";
        for (std::size_t begin = 0; begin < events.size();)
        {
            auto const end = events.find('\n', begin);
            auto line = events.substr(begin, end - begin);
            begin = end == std::string_view::npos ? events.size() : end + 1;
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            last_id_ = std::string{line};
        }
    }

    std::string buffer_;
    std::string last_id_;
};

} // namespace auburnweir::transport

#endif
