#include "protocol/event_splitter.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

/// Streams with line ends of all kinds arrive in arbitrary pieces and stop after any byte.

namespace auburnweir::protocol
{
namespace
{

/// A sound stream, and the lengths of it after which it is not inside an event.
struct sample_stream
{
    std::string bytes;
    std::vector<std::size_t> ends{0};
    std::vector<std::size_t> event_ends; ///< of the events with an id, in their order
};

sample_stream arbitrary_stream(std::string const& line_end)
{
    sample_stream stream;
    auto const parts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    auto& bytes = stream.bytes;
    for (auto const part : parts)
    {
        if (part == 0) // a comment, which is no event
            bytes += ": still here" + line_end;
        else
        {
            bytes += "id: " + std::to_string(stream.event_ends.size() + 1) + line_end;
            for (int line = 1; line < part; ++line)
                bytes += "data: text" + line_end;
            bytes += line_end;
            stream.event_ends.push_back(bytes.size());
        }
        stream.ends.push_back(bytes.size());
    }
    return stream;
}

std::string fed_in_pieces(event_splitter& splitter, std::string_view bytes)
{
    std::string taken;
    while (!bytes.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        RC_ASSERT(splitter.feed(bytes.substr(0, size)));
        bytes.remove_prefix(size);
        taken += splitter.take_complete_events();
    }
    return taken;
}

void check_cut(std::string const& line_end)
{
    auto const stream = arbitrary_stream(line_end);
    auto const cut = *rc::gen::inRange<std::size_t>(0, stream.bytes.size() + 1);
    event_splitter splitter;
    auto const taken = fed_in_pieces(splitter, std::string_view{stream.bytes}.substr(0, cut));
    bool const ends_soundly = std::ranges::find(stream.ends, cut) != stream.ends.end();
    RC_ASSERT(splitter.is_inside_event() == !ends_soundly);
    auto const events =
        std::ranges::count_if(stream.event_ends, [cut](std::size_t end) { return end <= cut; });
    RC_ASSERT(splitter.last_id() == (events == 0 ? "" : std::to_string(events)));
    if (events > 0)
        RC_ASSERT(taken.size() >= stream.event_ends[static_cast<std::size_t>(events) - 1]);
    RC_ASSERT(taken + splitter.take_remainder() == stream.bytes.substr(0, cut));
}

// Guards against ORDER: a stream that stops between or within the lines of an event seen as whole.
RC_GTEST_PROP(event_splitter_property, stream_cut_after_any_byte_is_inside_an_event_or_not, ())
{
    check_cut("\n");
}

RC_GTEST_PROP(event_splitter_property, crlf_stream_cut_after_any_byte_is_inside_an_event_or_not, ())
{
    check_cut("\r\n");
}

RC_GTEST_PROP(event_splitter_property, whole_stream_with_line_ends_of_any_kind_ends_outside, ())
{
    auto const line_end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    auto const stream = arbitrary_stream(line_end);
    event_splitter splitter;
    auto const taken = fed_in_pieces(splitter, stream.bytes);
    bool const only_comments = stream.event_ends.empty();
    // The last comment of a stream with CR alone may still be the first half of a CRLF.
    if (line_end != "\r" || !only_comments)
        RC_ASSERT(!splitter.is_inside_event());
    RC_ASSERT(taken + splitter.take_remainder() == stream.bytes);
}

} // namespace
} // namespace auburnweir::protocol
