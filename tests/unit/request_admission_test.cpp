#include "coordination/request_admission.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::refusal_reason;

class request_admission_test : public testing::Test
{
protected:
    request_admission_test()
    {
        state::route_set::builder builder;
        builder.version(state::configuration_version{7});
        builder.add(route("outer", "/a/", false)).add(route("inner", "/a/b/", false));
        builder.add(route("open", "/open/", true));
        state::organisation_quota acme;
        acme.id = state::organisation_id{"acme"};
        acme.in_tokens = true;
        acme.rate_per_second = 1000;
        acme.burst = 1000;
        builder.add(acme, {"key-1"});
        routes = builder.build();
        quotas.update_shares(1, now + 1h, 1, now);
    }

    static state::route route(std::string const& id, std::string const& prefix, bool anonymous)
    {
        state::route r;
        r.id = state::route_id{id};
        r.host = "calls.test";
        r.prefix = prefix;
        r.anonymous = anonymous;
        r.timeout = 4s;
        r.targets = {{state::service_id{"desk"}, 1}};
        return r;
    }

    request_admission admit(std::string const& target, std::string const& key = "key-1")
    {
        head.key = key;
        return admit_request(
            {head, "CALLS.test:80", target, *routes, confirmation_age, now}, {3s, 5s}, quotas);
    }

    static std::string route_of(request_admission const& a)
    {
        auto const* admitted = std::get_if<request_admitted>(&a);
        return admitted ? admitted->route->id.str() : "refused";
    }

    static refusal_reason reason_of(request_admission const& a)
    {
        return std::get<request_refused>(a).reason;
    }

    state::route_set_ptr routes;
    state::forwarded_request head;
    shared_quota quotas;
    state::duration confirmation_age{500ms};
    state::time_point now{1h};
};

TEST_F(request_admission_test, request_with_a_query_uses_the_route_of_its_longest_path_prefix)
{
    EXPECT_EQ(route_of(admit("/a/b/c?x=/a/")), "inner");
    EXPECT_EQ(route_of(admit("/a/c")), "outer");
    EXPECT_EQ(reason_of(admit("/b/")), refusal_reason::unknown_route);
}

TEST_F(
    request_admission_test, request_without_a_route_under_an_old_configuration_is_refused_as_stale)
{
    confirmation_age = 2700ms;
    EXPECT_EQ(reason_of(admit("/b/")), refusal_reason::configuration_stale);
    EXPECT_EQ(reason_of(admit("/a/c", "unknown")), refusal_reason::configuration_stale);
}

TEST_F(request_admission_test, known_key_is_admitted_only_within_the_revocation_bound)
{
    confirmation_age = 4500ms;
    EXPECT_EQ(route_of(admit("/a/c")), "outer");
    confirmation_age = 4700ms;
    EXPECT_EQ(reason_of(admit("/a/c")), refusal_reason::configuration_stale);
}

TEST_F(request_admission_test, request_without_a_key_is_admitted_only_on_an_anonymous_route)
{
    EXPECT_EQ(route_of(admit("/open/x", "")), "open");
    EXPECT_EQ(reason_of(admit("/a/x", "")), refusal_reason::unauthorised);
}

TEST_F(request_admission_test, deadline_with_a_callers_timeout_is_the_earlier_of_it_and_the_routes)
{
    head.timeout = 2s;
    EXPECT_EQ(std::get<request_admitted>(admit("/a/c")).deadline, now + 2s);
    head.timeout = 9s;
    EXPECT_EQ(std::get<request_admitted>(admit("/a/c")).deadline, now + 4s);
}

TEST_F(request_admission_test, request_with_counted_tokens_costs_its_prompt_and_maximum_output)
{
    head.has_token_counts = true;
    head.prompt = state::token_count{700};
    head.max_output = state::token_count{200};
    EXPECT_EQ(std::get<request_admitted>(admit("/a/c")).quota_cost, 900);
    auto const second = admit("/a/c");
    EXPECT_EQ(reason_of(second), refusal_reason::quota_exceeded);
    EXPECT_GT(std::get<request_refused>(second).retry_after, 0ms);
}

} // namespace
} // namespace auburnweir::coordination
