#include "coordination/server_choice.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Six domains with the same demand; 82 instances, each with only its own requests to judge load
/// by. A series of reclaims leaves some domains with few of their servers.
class reclaim_series_test : public testing::Test
{
protected:
    static constexpr int domains = 6;
    static constexpr int instances = 82;
    static constexpr int requests_per_instance = 60;
    static constexpr int prompts = 400;

    static state::failure_domain_id domain(int i)
    {
        return state::failure_domain_id{"domain-" + std::to_string(i)};
    }

    static std::vector<state::server_view> servers_by_domain(std::vector<int> const& counts)
    {
        std::vector<state::server_view> servers;
        for (int d = 0; d < domains; ++d)
            for (int i = 0; i < counts[d]; ++i)
            {
                state::server_view v;
                v.listed.id =
                    state::backend_id{"engine-" + std::to_string(d) + "-" + std::to_string(i)};
                v.listed.failure_domain = domain(d);
                v.listed.slots = 32;
                servers.push_back(std::move(v));
            }
        return servers;
    }

    /// Mean load of each domain's servers, relative to the mean of all servers, when each instance
    /// places its requests without knowing those of the others.
    std::vector<double> relative_loads(std::vector<int> const& counts)
    {
        auto const fresh = servers_by_domain(counts);
        std::map<state::failure_domain_id, double> placed;
        std::uniform_int_distribution<int> prompt(0, prompts - 1);
        for (int instance = 0; instance < instances; ++instance)
        {
            auto servers = fresh;
            choice_request request;
            request.failure_domain = domain(instance % domains);
            for (int i = 0; i < requests_per_instance; ++i)
            {
                request.affinity = "prompt-" + std::to_string(prompt(random));
                auto const chosen =
                    choose_server(affinity_with_bounded_load{}, servers, request, start, random);
                auto const it = std::find_if(
                    servers.begin(), servers.end(),
                    [&](auto const& s) { return s.listed.id == chosen->listed.id; });
                ++it->in_flight;
                ++placed[it->listed.failure_domain];
            }
        }
        auto const mean =
            double{instances * requests_per_instance} / static_cast<double>(fresh.size());
        std::vector<double> result;
        for (int d = 0; d < domains; ++d)
            result.push_back(counts[d] ? placed[domain(d)] / counts[d] / mean : 0);
        return result;
    }

    state::time_point start{100s};
    std::mt19937_64 random{7};
};

TEST_F(reclaim_series_test, choose_server_with_all_engines_keeps_requests_in_their_domain)
{
    auto const servers = servers_by_domain({24, 24, 24, 24, 24, 24});
    choice_request request;
    request.failure_domain = domain(2);
    for (int i = 0; i < prompts; ++i)
    {
        request.affinity = "prompt-" + std::to_string(i);
        auto const chosen =
            choose_server(affinity_with_bounded_load{}, servers, request, start, random);
        EXPECT_EQ(chosen->listed.failure_domain, domain(2));
    }
}

TEST_F(reclaim_series_test, choose_server_after_four_reclaims_does_not_overload_engines_left)
{
    for (double const load : relative_loads({3, 4, 40, 6, 5, 40}))
        EXPECT_LT(load, 1.5);
}

TEST_F(reclaim_series_test, choose_server_after_one_reclaim_does_not_overload_engines_left)
{
    for (double const load : relative_loads({8, 24, 24, 24, 24, 24}))
        EXPECT_LT(load, 1.5);
}

TEST_F(reclaim_series_test, choose_server_for_domain_without_engines_uses_all_others)
{
    auto const loads = relative_loads({0, 30, 30, 30, 30, 30});
    for (int d = 1; d < domains; ++d)
        EXPECT_LT(loads[d], 1.3);
}

} // namespace
} // namespace auburnweir::coordination
