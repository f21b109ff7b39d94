#include "coordination/refused_requests.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

/// Requests that were refused on one connection.
class refused_requests_test : public testing::Test
{
protected:
    static state::request_id request(std::size_t number)
    {
        return state::request_id{"request-" + std::to_string(number)};
    }

    void add(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            refused.add(request(i));
    }

    refused_requests refused;
};

TEST_F(refused_requests_test, added_request_is_contained_and_others_are_not)
{
    add(2);
    EXPECT_TRUE(refused.contains(request(0)));
    EXPECT_TRUE(refused.contains(request(1)));
    EXPECT_FALSE(refused.contains(request(2)));
    EXPECT_FALSE(refused.contains(state::request_id{}));
}

// Guards against REFUSED and TWICE: a refusal that is forgotten while its connection is used.
TEST_F(refused_requests_test, as_many_as_are_remembered_make_the_connection_unusable)
{
    add(refused_requests::max_requests - 1);
    EXPECT_FALSE(refused.is_full());
    refused.add(request(refused_requests::max_requests));
    EXPECT_TRUE(refused.is_full());
    EXPECT_TRUE(refused.contains(request(0)));
}

TEST_F(refused_requests_test, ids_that_differ_in_their_last_byte_alone_are_told_apart)
{
    constexpr std::size_t long_id_bytes = 8000;
    std::string const start(long_id_bytes, 'x');
    refused.add(state::request_id{start + "a"});
    EXPECT_TRUE(refused.contains(state::request_id{start + "a"}));
    EXPECT_FALSE(refused.contains(state::request_id{start + "b"}));
}

} // namespace
} // namespace auburnweir::coordination
