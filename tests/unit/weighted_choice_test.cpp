#include "coordination/weighted_choice.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::backend_id;
using state::server_view;

/// 140 servers in four failure domains, all rated as equally fast with the same load.
class weighted_choice_test : public testing::Test
{
protected:
    static constexpr int server_count = 140;
    static constexpr int domains = 4;
    static constexpr int instances = 77;

    weighted_choice_test()
    {
        for (int i = 0; i < server_count; ++i)
        {
            server_view v;
            v.listed.id = backend_id{"engine-" + std::to_string(i)};
            v.listed.service = state::service_id{"chat"};
            v.listed.failure_domain = domain(i);
            v.listed.slots = 32;
            v.rating = state::server_rating{};
            v.rating->event_interval = 20ms;
            v.rating->load = 10;
            v.rated_at = now;
            servers.push_back(std::move(v));
        }
    }

    static state::failure_domain_id domain(int i)
    {
        return state::failure_domain_id{"domain-" + std::to_string(i % domains)};
    }

    static choice_request request_of(int instance, std::string affinity = "p")
    {
        choice_request request;
        request.instance = state::instance_id{"gateway-" + std::to_string(instance)};
        request.failure_domain = domain(instance);
        request.affinity = std::move(affinity);
        return request;
    }

    static choice_request long_request_of(int instance, std::string affinity = "p")
    {
        auto request = request_of(instance, std::move(affinity));
        request.shared_tokens = min_long_request;
        return request;
    }

    weighted_choice choose(choice_request const& request, bool separate_lanes = false)
    {
        return choose_weighted({separate_lanes}, servers, request, now, random).value();
    }

    server_view& chosen(choice_request const& request, bool separate_lanes = false)
    {
        return servers[choose(request, separate_lanes).index];
    }

    /// Servers that an instance chooses for many different prompts while it has few requests.
    std::set<backend_id> used_by(int instance)
    {
        std::set<backend_id> used;
        for (int i = 0; i < 200; ++i)
            used.insert(chosen(request_of(instance, "prompt-" + std::to_string(i))).listed.id);
        return used;
    }

    state::time_point now{1h};
    std::mt19937_64 random{7};
    std::vector<server_view> servers;
};

// Guards against instances that see each server once in ten seconds.
TEST_F(weighted_choice_test, other_requests_use_five_servers_of_the_own_domain)
{
    for (int instance = 0; instance < 8; ++instance)
    {
        EXPECT_EQ(used_by(instance).size(), instance_subset_size);
        for (auto const& id : used_by(instance))
            EXPECT_EQ(
                std::ranges::find(servers, id, [](auto const& s) { return s.listed.id; })
                    ->listed.failure_domain,
                domain(instance));
    }
}

// Guards against connections that are opened anew because the directory has changed.
TEST_F(weighted_choice_test, subset_after_the_loss_of_a_member_keeps_the_others)
{
    auto const before = used_by(0);
    std::erase_if(servers, [&](auto const& s) { return s.listed.id == *before.begin(); });
    auto const after = used_by(0);
    EXPECT_EQ(after.size(), instance_subset_size);
    EXPECT_TRUE(std::includes(after.begin(), after.end(), std::next(before.begin()), before.end()));
}

// Guards against herds: all instances read the same ratings, and one server is idle.
TEST_F(weighted_choice_test, one_idle_server_is_chosen_only_by_instances_with_it_in_their_subset)
{
    auto const idle = backend_id{"engine-0"};
    int with_it = 0;
    for (int instance = 0; instance < instances; ++instance)
        with_it += used_by(instance).contains(idle) ? 1 : 0;
    servers.front().rating->load = 0;
    int chose_it = 0;
    for (int instance = 0; instance < instances; ++instance)
        chose_it += chosen(request_of(instance)).listed.id == idle ? 1 : 0;
    EXPECT_EQ(chose_it, with_it);
    // 5 of the 35 servers of the domain, for a quarter of the instances: 2.8 are expected.
    EXPECT_GT(with_it, 0);
    EXPECT_LE(with_it, 9);
}

// Guards against herds of one instance, whose next ratings arrive only after some requests.
TEST_F(weighted_choice_test, own_requests_in_flight_count_at_once)
{
    for (auto& s : servers)
        s.rating->load = 0;
    std::map<backend_id, int> sent;
    for (int i = 0; i < 50; ++i)
    {
        auto& server = chosen(request_of(0));
        ++server.in_flight;
        ++server.sent_since_load;
        ++sent[server.listed.id];
    }
    ASSERT_EQ(sent.size(), instance_subset_size);
    for (auto const& [id, count] : sent)
        EXPECT_NEAR(count, 10, 2) << id.str();
}

// Guards against own requests that a higher rated load hides.
TEST_F(weighted_choice_test, rated_load_includes_requests_sent_since)
{
    auto& s = servers.front();
    EXPECT_DOUBLE_EQ(rated_load(s, now), 10);
    s.in_flight = 2;
    s.sent_since_load = 5;
    EXPECT_DOUBLE_EQ(rated_load(s, now), 12);
}

TEST_F(weighted_choice_test, rated_load_decays_with_its_age)
{
    auto& s = servers.front();
    s.rating->load_age = 500ms;
    EXPECT_NEAR(rated_load(s, now + 1s), 5, 1e-9);
    EXPECT_DOUBLE_EQ(rated_load(s, now + 5s), 0);
    s.in_flight = 7;
    EXPECT_DOUBLE_EQ(rated_load(s, now + 5s), 7);
}

// Guards against slow servers that get as many requests as fast ones.
TEST_F(weighted_choice_test, slow_servers_of_the_subset_get_fewer_requests)
{
    // Slow servers enter a subset rarely, so all but one server of the domain are slow.
    auto const fast = *used_by(0).begin();
    for (auto& s : servers)
        if (s.listed.failure_domain == domain(0) && s.listed.id != fast)
            s.rating->event_interval = 52ms;
    int near = 0;
    constexpr int prompts = 400;
    for (int i = 0; i < prompts; ++i)
    {
        auto const& s = chosen(request_of(0, "prompt-" + std::to_string(i))).listed;
        if (s.failure_domain != domain(0))
            continue;
        ++near;
        EXPECT_EQ(s.id, fast);
    }
    // The domain has little capacity by its weights, so most requests leave it.
    EXPECT_LT(near, prompts / 2);
    EXPECT_GT(near, 0);
}

// Guards against a work factor that steers requests long after it has changed.
TEST_F(weighted_choice_test, work_factor_counts_for_200_ms_only)
{
    auto const preferred = chosen(request_of(0)).listed.id;
    auto& s = *std::ranges::find(servers, preferred, [](auto const& v) { return v.listed.id; });
    s.load = state::server_load{10, 0, 32, state::work_factor{250}};
    s.load_at = now - 199ms;
    EXPECT_NE(chosen(request_of(0)).listed.id, preferred);
    s.load_at = now - 200ms;
    EXPECT_EQ(chosen(request_of(0)).listed.id, preferred);
}

// Guards against equal prompts that are prefilled at several servers of about the same load.
TEST_F(weighted_choice_test, near_ties_are_decided_by_affinity)
{
    auto const preferred = chosen(request_of(0)).listed.id;
    auto const others = used_by(0);
    for (auto& s : servers)
        if (others.contains(s.listed.id) && s.listed.id != preferred)
            s.rating->load = 9; // (10 + 1) / (9 + 1) is below 1.2
    EXPECT_EQ(chosen(request_of(0)).listed.id, preferred);
    for (auto& s : servers)
        if (others.contains(s.listed.id) && s.listed.id != preferred)
            s.rating->load = 8; // (10 + 1) / (8 + 1) is above 1.2
    EXPECT_NE(chosen(request_of(0)).listed.id, preferred);
}

TEST_F(weighted_choice_test, near_ties_without_affinity_are_spread_over_the_subset)
{
    std::set<backend_id> used;
    for (int i = 0; i < 100; ++i)
        used.insert(chosen(request_of(0, "")).listed.id);
    EXPECT_EQ(used.size(), instance_subset_size);
}

TEST_F(weighted_choice_test, domain_without_servers_uses_five_servers_of_the_others)
{
    std::erase_if(servers, [](auto const& s) { return s.listed.failure_domain == domain(0); });
    EXPECT_EQ(used_by(0).size(), instance_subset_size);
}

TEST_F(weighted_choice_test, full_domain_uses_the_others)
{
    for (auto& s : servers)
        if (s.listed.failure_domain == domain(0))
            s.rating->load = 32;
    EXPECT_NE(chosen(request_of(0)).listed.failure_domain, domain(0));
}

// Guards against a request that queues at a full subset while its domain has free servers.
TEST_F(weighted_choice_test, full_subset_in_a_domain_with_capacity_is_replaced)
{
    auto const subset = used_by(0);
    for (auto& s : servers)
        if (subset.contains(s.listed.id))
            s.rating->load = 32;
    auto const& server = chosen(request_of(0));
    EXPECT_EQ(server.listed.failure_domain, domain(0));
    EXPECT_FALSE(subset.contains(server.listed.id));
}

TEST_F(weighted_choice_test, all_servers_full_still_chooses_one)
{
    for (auto& s : servers)
        s.rating->load = 40;
    EXPECT_EQ(chosen(request_of(0)).listed.failure_domain, domain(0));
    EXPECT_EQ(choose(long_request_of(0)).kind.scope, placement_scope::deployment);
}

// Guards against shared segments that each failure domain prefills for itself.
TEST_F(weighted_choice_test, long_requests_of_all_instances_meet_at_one_server)
{
    std::set<backend_id> used;
    for (int instance = 0; instance < instances; ++instance)
        used.insert(chosen(long_request_of(instance)).listed.id);
    EXPECT_EQ(used.size(), 1);
}

TEST_F(weighted_choice_test, requests_below_the_limit_of_shared_tokens_use_the_subset)
{
    auto request = long_request_of(0);
    EXPECT_EQ(choose(request).kind, (placement_kind{placement_scope::deployment, false}));
    request.shared_tokens = min_long_request - state::token_count{1};
    EXPECT_EQ(choose(request).kind, (placement_kind{placement_scope::subset, false}));
}

TEST_F(weighted_choice_test, long_request_whose_server_is_above_the_bound_uses_the_next)
{
    auto const preferred = chosen(long_request_of(0)).listed.id;
    auto& s = *std::ranges::find(servers, preferred, [](auto const& v) { return v.listed.id; });
    s.rating->load = 15; // the bound is 1.25 x 10.04 + 3 = 15.5
    EXPECT_EQ(chosen(long_request_of(0)).listed.id, preferred);
    s.rating->load = 16;
    EXPECT_NE(chosen(long_request_of(0)).listed.id, preferred);
}

// Guards against a bound that a slow server reaches only with the load of a fast one.
TEST_F(weighted_choice_test, bound_of_a_slow_server_follows_its_weight)
{
    auto const preferred = chosen(long_request_of(0)).listed.id;
    auto& s = *std::ranges::find(servers, preferred, [](auto const& v) { return v.listed.id; });
    s.rating->event_interval = 52ms;
    s.rating->load = 3;
    EXPECT_NE(chosen(long_request_of(0)).listed.id, preferred);
}

TEST_F(weighted_choice_test, long_requests_spread_over_servers_by_their_weight)
{
    for (int i = 0; i < server_count; ++i)
        if (i % 3 == 0)
            servers[i].rating->event_interval = 52ms;
    int slow = 0;
    constexpr int prompts = 6000;
    for (auto& s : servers)
        s.rating->load = 0;
    for (int i = 0; i < prompts; ++i)
        slow += chosen(long_request_of(0, "prompt-" + std::to_string(i))).rating->event_interval ==
                        state::duration{52ms}
                    ? 1
                    : 0;
    // 47 servers of weight 1/8 beside 93 of weight 1.
    EXPECT_NEAR(slow / double{prompts}, 5.875 / 98.875, 0.015);
}

// Guards against urgent requests behind a long prefill.
TEST_F(weighted_choice_test, requests_of_different_lanes_use_different_servers)
{
    for (int i = 0; i < 500; ++i)
    {
        auto const affinity = "prompt-" + std::to_string(i);
        auto const& other = chosen(request_of(i, affinity), true);
        EXPECT_EQ(lane_of(other.listed.id), server_lane::other_requests);
        auto const& long_one = chosen(long_request_of(i, affinity), true);
        EXPECT_EQ(lane_of(long_one.listed.id), server_lane::long_requests);
    }
}

TEST_F(weighted_choice_test, lanes_have_about_half_of_the_servers)
{
    auto const long_lane = std::ranges::count_if(
        servers, [](auto const& s) { return lane_of(s.listed.id) == server_lane::long_requests; });
    EXPECT_NEAR(static_cast<double>(long_lane), server_count / 2.0, server_count / 10.0);
}

TEST_F(weighted_choice_test, lane_without_servers_is_left)
{
    std::erase_if(
        servers, [](auto const& s) { return lane_of(s.listed.id) == server_lane::long_requests; });
    EXPECT_EQ(choose(long_request_of(0), true).kind.left_lane, true);
    EXPECT_EQ(choose(request_of(0), true).kind.left_lane, false);
}

// Guards against a request that fails while servers of the other lane are open.
TEST_F(weighted_choice_test, lane_whose_servers_were_all_tried_is_left)
{
    auto request = request_of(0);
    for (auto const& s : servers)
        if (lane_of(s.listed.id) == server_lane::other_requests)
            request.tried_backends.insert(s.listed.id);
    EXPECT_TRUE(choose(request, true).kind.left_lane);
}

TEST_F(weighted_choice_test, tried_and_refusing_servers_are_avoided)
{
    auto request = request_of(0);
    auto const first = chosen(request).listed.id;
    request.tried_backends.insert(first);
    auto& second = chosen(request);
    EXPECT_NE(second.listed.id, first);
    second.full_until = now + 200ms;
    auto const& third = chosen(request);
    EXPECT_NE(third.listed.id, first);
    EXPECT_NE(third.listed.id, second.listed.id);
    for (auto const& s : servers)
        request.tried_backends.insert(s.listed.id);
    EXPECT_FALSE(choose_weighted({}, servers, request, now, random));
}

// Guards against a deployment without ratings, as before the first report response, that fails.
TEST_F(weighted_choice_test, servers_without_ratings_are_chosen_by_their_own_load)
{
    for (auto& s : servers)
        s.rating.reset();
    auto& first = chosen(request_of(0));
    first.in_flight = 3;
    EXPECT_NE(chosen(request_of(0)).listed.id, first.listed.id);
    EXPECT_EQ(used_by(0).size(), instance_subset_size - 1);
}

TEST_F(weighted_choice_test, place_request_returns_the_kind_of_placement)
{
    auto const placed =
        place_request(speed_weighted_placement{}, servers, request_of(0), now, random);
    ASSERT_TRUE(placed);
    EXPECT_EQ(placed->placement, (placement_kind{placement_scope::subset, false}));
    auto const plain = place_request(nearest_least_loaded{}, servers, request_of(0), now, random);
    ASSERT_TRUE(plain);
    EXPECT_FALSE(plain->placement);
}

TEST_F(weighted_choice_test, shared_tokens_exclude_the_last_segment)
{
    state::forwarded_request request;
    EXPECT_EQ(shared_tokens_of(request), state::token_count{0});
    request.segments = {
        {"a", state::token_count{1000}},
        {"b", state::token_count{1048}},
        {"c", state::token_count{9000}}};
    EXPECT_EQ(shared_tokens_of(request), min_long_request);
}

} // namespace
} // namespace auburnweir::coordination
