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

TEST_F(status_line_test, statuses_from_100_to_599_are_valid)
{
    for (int const status : {100, 199, 200, 503, 599})
        EXPECT_TRUE(is_valid_status(status)) << status;
    for (int const status : {0, 1, 99, 600, 999})
        EXPECT_FALSE(is_valid_status(status)) << status;
}

} // namespace
} // namespace auburnweir::protocol
