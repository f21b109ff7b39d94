#include "transport/event_splitter.hpp"

#include <chrono>
#include <gtest/gtest.h>

namespace auburnweir::transport
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
} // namespace auburnweir::transport
