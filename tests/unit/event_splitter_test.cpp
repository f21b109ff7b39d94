#include "protocol/event_splitter.hpp"

#include <chrono>
#include <gtest/gtest.h>

namespace auburnweir::protocol
{
namespace
{

class event_splitter_test : public testing::Test
{
protected:
    event_splitter splitter;
};

TEST_F(event_splitter_test, feed_of_split_event_completes_with_its_last_byte)
{
    for (char const c : std::string{"id: 7\ndata: x\n"})
    {
        EXPECT_TRUE(splitter.feed(std::string(1, c)));
        EXPECT_EQ(splitter.take_complete_events(), "");
    }
    EXPECT_TRUE(splitter.feed("\n"));
    EXPECT_EQ(splitter.take_complete_events(), "id: 7\ndata: x\n\n");
    EXPECT_EQ(splitter.last_id(), "7");
    EXPECT_TRUE(splitter.last_had_content());
}

TEST_F(event_splitter_test, feed_of_two_events_and_a_part_keeps_the_part)
{
    EXPECT_TRUE(splitter.feed("id: 1\n\nid: 2\n\nid: 3"));
    EXPECT_EQ(splitter.take_complete_events(), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(splitter.last_id(), "2");
    EXPECT_EQ(splitter.take_complete_events(), "");
    EXPECT_EQ(splitter.take_remainder(), "id: 3");
}

// Guards against servers that seem slow because their events arrive together.
TEST_F(event_splitter_test, feed_of_several_events_counts_those_with_content)
{
    EXPECT_TRUE(
        splitter.feed("id: 1\ndata: a\n\n: still here\n\ndata: b\n\ndata: c\ndata: d\n\nda"));
    splitter.take_complete_events();
    EXPECT_EQ(splitter.last_content_events(), 3U);
    splitter.take_complete_events();
    EXPECT_EQ(splitter.last_content_events(), 0U);
}

TEST_F(event_splitter_test, feed_of_events_with_crlf_completes_them_unchanged)
{
    EXPECT_TRUE(splitter.feed("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata"));
    EXPECT_EQ(splitter.take_complete_events(), "id: 1\r\ndata: x\r\n\r\n");
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_EQ(splitter.last_content_events(), 1U);
    EXPECT_TRUE(splitter.is_inside_event());
}

TEST_F(event_splitter_test, feed_of_events_with_cr_completes_them_at_their_last_byte)
{
    EXPECT_TRUE(splitter.feed("id: 1\rdata: x\r\r"));
    EXPECT_EQ(splitter.take_complete_events(), "id: 1\rdata: x\r\r");
    EXPECT_FALSE(splitter.is_inside_event());
    EXPECT_TRUE(splitter.feed("\nid: 2\r\r"));
    EXPECT_EQ(splitter.take_complete_events(), "\nid: 2\r\r");
    EXPECT_EQ(splitter.last_id(), "2");
}

// Guards against ORDER: an event that stops within its line end taken for a whole one.
TEST_F(event_splitter_test, stream_that_stops_within_a_crlf_is_inside_an_event)
{
    EXPECT_TRUE(splitter.feed("data: x\r\n\r"));
    EXPECT_TRUE(splitter.is_inside_event());
    EXPECT_TRUE(splitter.feed("\n"));
    EXPECT_FALSE(splitter.is_inside_event());
    EXPECT_EQ(splitter.take_complete_events(), "data: x\r\n\r\n");
}

TEST_F(event_splitter_test, stream_that_stops_after_whole_comments_is_not_inside_an_event)
{
    EXPECT_TRUE(splitter.feed("data: x\n\n: bye\n"));
    EXPECT_FALSE(splitter.is_inside_event());
    EXPECT_TRUE(splitter.feed(": b"));
    EXPECT_TRUE(splitter.is_inside_event());
}

TEST_F(event_splitter_test, feed_of_comment_has_no_content)
{
    EXPECT_TRUE(splitter.feed(": still here\n\n"));
    EXPECT_EQ(splitter.take_complete_events(), ": still here\n\n");
    EXPECT_FALSE(splitter.last_had_content());
}

TEST_F(event_splitter_test, feed_of_event_without_end_fails_beyond_limit)
{
    std::string const part(4096, 'x');
    std::size_t accepted = 0;
    while (accepted <= 2 * event_splitter::max_event_bytes && splitter.feed(part))
        accepted += part.size();
    EXPECT_EQ(accepted, event_splitter::max_event_bytes);
}

TEST_F(event_splitter_test, feed_of_event_without_end_searches_each_byte_once)
{
    // Searching the whole buffer at each read needs several seconds for this many reads.
    auto const started_at = std::chrono::steady_clock::now();
    for (std::size_t fed = 0; fed < event_splitter::max_event_bytes; ++fed)
        ASSERT_TRUE(splitter.feed("x"));
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, std::chrono::seconds{1});
}

} // namespace
} // namespace auburnweir::protocol
