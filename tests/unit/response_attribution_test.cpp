#include "coordination/response_attribution.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

class response_attribution_test : public testing::Test
{
protected:
    static response_evidence refusal(response_name name, int requests_on_connection)
    {
        response_evidence evidence;
        evidence.name = name;
        evidence.states_not_run = true;
        evidence.requests_on_connection = requests_on_connection;
        return evidence;
    }

    static response_evidence answer(response_name name, int requests_on_connection)
    {
        auto evidence = refusal(name, requests_on_connection);
        evidence.states_not_run = false;
        return evidence;
    }

    static bool is_own(response_evidence const& evidence)
    {
        return std::holds_alternative<own_response>(attribute_response(evidence));
    }
};

TEST_F(response_attribution_test, response_with_the_requests_name_is_its_own)
{
    for (int const requests : {1, 2, 100})
    {
        EXPECT_TRUE(is_own(answer(response_name::this_request, requests)));
        EXPECT_TRUE(is_own(refusal(response_name::this_request, requests)));
    }
}

TEST_F(response_attribution_test, response_with_another_name_is_foreign)
{
    for (int const requests : {1, 2, 100})
    {
        EXPECT_FALSE(is_own(answer(response_name::other_request, requests)));
        EXPECT_FALSE(is_own(refusal(response_name::other_request, requests)));
    }
}

TEST_F(response_attribution_test, answer_without_name_is_foreign)
{
    EXPECT_FALSE(is_own(answer(response_name::none, 1)));
    EXPECT_FALSE(is_own(answer(response_name::none, 2)));
}

TEST_F(
    response_attribution_test, refusal_without_name_on_new_connection_is_its_own_and_ends_the_use)
{
    auto const attribution = attribute_response(refusal(response_name::none, 1));
    auto const* own = std::get_if<own_response>(&attribution);
    ASSERT_TRUE(own);
    EXPECT_FALSE(own->may_reuse_connection);
}

// Guards against REFUSED and TWICE: a copy of an earlier refusal, without its name.
TEST_F(response_attribution_test, refusal_without_name_on_kept_connection_is_ambiguous)
{
    for (int const requests : {2, 100})
    {
        auto const attribution = attribute_response(refusal(response_name::none, requests));
        EXPECT_TRUE(std::holds_alternative<ambiguous_response>(attribution)) << requests;
    }
}

TEST_F(response_attribution_test, server_with_recent_unnamed_refusal_needs_own_connections)
{
    state::time_point const at{std::chrono::hours{1}};
    EXPECT_TRUE(needs_own_connection(at, at));
    EXPECT_TRUE(needs_own_connection(at, at + std::chrono::seconds{29}));
    EXPECT_FALSE(needs_own_connection(at, at + std::chrono::seconds{30}));
    EXPECT_FALSE(needs_own_connection(std::nullopt, at));
}

} // namespace
} // namespace auburnweir::coordination
