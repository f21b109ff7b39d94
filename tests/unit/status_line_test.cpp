#include "protocol/status_line.hpp"

#include <gtest/gtest.h>

namespace auburnweir::protocol
{
namespace
{

class status_line_test : public testing::Test
{
};

TEST_F(status_line_test, text_with_status_line_is_recognised)
{
    EXPECT_TRUE(contains_status_line("1,HTTP/1.1 200 OK"));
    EXPECT_TRUE(contains_status_line("HTTP/1.0 503"));
    EXPECT_TRUE(contains_status_line("HTTP/1.HTTP/1.1 421 Misdirected"));
}

TEST_F(status_line_test, text_that_names_the_protocol_otherwise_is_not)
{
    for (auto const* text :
         {"", "HTTP/1.1 proxy-7", "HTTP/1.1 2000", "HTTP/1.", "HTTP/1.1 20", "OK"})
        EXPECT_FALSE(contains_status_line(text)) << text;
}

} // namespace
} // namespace auburnweir::protocol
