#include "coordination/backend_subset.hpp"
#include "coordination/outlier_detector.hpp"
#include "coordination/router.hpp"
#include "state/request.hpp"

#include <gtest/gtest.h>
#include <map>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::backend_id;
using state::backend_view;
using state::time_point;

class routing_test : public testing::Test
{
protected:
    static constexpr time_point now{1h};

    static backend_view backend(std::string const& name, std::string const& domain = "a")
    {
        backend_view view;
        view.id = backend_id{name};
        view.failure_domain = state::failure_domain_id{domain};
        view.region = state::region_id{"here"};
        view.concurrency = 4;
        view.price = state::price_per_hour{100};
        return view;
    }

    static routing_request request()
    {
        routing_request r;
        r.prompt = state::token_count{100};
        r.region = state::region_id{"here"};
        return r;
    }

    std::optional<backend_id> choose(
        routing_policy policy, std::vector<backend_view> const& candidates, routing_request r)
    {
        return router(std::move(policy), prefixes).choose(candidates, r, now, random);
    }

    prefix_index prefixes{1000, 1min};
    random_engine random{7};
};

TEST_F(routing_test, choose_without_candidates_returns_null)
{
    EXPECT_FALSE(choose(predicted_first_token{}, {}, request()));
}

TEST_F(routing_test, choose_skips_tried_backends)
{
    auto r = request();
    r.tried_backends = {backend_id{"x"}};

    EXPECT_EQ(choose(round_robin{}, {backend("x"), backend("y")}, r), backend_id{"y"});
}

TEST_F(routing_test, choose_after_failure_prefers_another_failure_domain)
{
    auto r = request();
    r.failed_domains = {state::failure_domain_id{"a"}};

    EXPECT_EQ(choose(least_loaded{}, {backend("x", "a"), backend("y", "b")}, r), backend_id{"y"});
}

TEST_F(routing_test, choose_when_one_is_queueing_returns_the_other)
{
    auto busy = backend("busy");
    busy.report.running = 4;
    busy.report.queued = 10;

    EXPECT_EQ(
        choose(predicted_first_token{}, {busy, backend("idle")}, request()), backend_id{"idle"});
}

TEST_F(routing_test, estimated_requests_include_requests_sent_since_the_last_report)
{
    auto view = backend("x");
    view.report.running = 2;
    view.sent_since_report = 5;
    view.ended_since_report = 1;

    EXPECT_EQ(estimated_requests(view), 6);
}

TEST_F(routing_test, choose_within_the_tie_tolerance_returns_the_cheaper)
{
    auto cheap = backend("cheap");
    cheap.price = state::price_per_hour{10};

    EXPECT_EQ(
        choose(predicted_first_token{}, {backend("dear"), cheap}, request()), backend_id{"cheap"});
}

TEST_F(routing_test, choose_with_a_cached_prefix_returns_the_backend_that_has_it)
{
    std::string const prompt(64 * prefix_block_bytes, 'p');
    auto r = request();
    r.prompt = state::estimated_tokens(prompt);
    r.prefix = hash_prefix(prompt);
    prefixes.record_blocks(backend_id{"warm"}, r.prefix, now);

    EXPECT_EQ(
        choose(predicted_first_token{}, {backend("cold"), backend("warm")}, r), backend_id{"warm"});
}

TEST_F(routing_test, choose_across_regions_returns_the_backend_of_the_own_region)
{
    auto far = backend("far");
    far.region = state::region_id{"there"};
    far.price = state::price_per_hour{1};

    EXPECT_EQ(
        choose(predicted_first_token{}, {far, backend("near")}, request()), backend_id{"near"});
}

TEST_F(routing_test, expected_hit_decreases_with_age_and_after_an_event_gap)
{
    auto const blocks = hash_prefix(std::string(2 * prefix_block_bytes, 'p'));
    backend_id const holder{"x"};
    prefixes.record_blocks(holder, blocks, now);
    EXPECT_EQ(prefixes.expected_hit(holder, blocks, now).count(), 128);
    EXPECT_EQ(prefixes.expected_hit(holder, blocks, now + 30s).count(), 64);

    prefixes.record_event_gap(holder, now + 1s);

    EXPECT_EQ(prefixes.expected_hit(holder, blocks, now + 30s).count(), 32);
    EXPECT_EQ(prefixes.expected_hit(holder, blocks, now + 2min).count(), 0);
}

TEST_F(routing_test, prefix_index_stays_within_its_capacity)
{
    prefix_index small(10, 1min);
    for (std::uint64_t block = 0; block < 100; ++block)
        small.record_blocks(backend_id{"x"}, {block}, now);

    EXPECT_EQ(small.size(), 10U);
    EXPECT_EQ(small.expected_hit(backend_id{"x"}, {0}, now).count(), 0);
    EXPECT_EQ(small.expected_hit(backend_id{"x"}, {99}, now).count(), 64);
}

TEST_F(routing_test, subset_of_many_is_deterministic_and_covers_all_domains)
{
    std::vector<backend_view> all;
    for (int i = 0; i < 600; ++i)
        all.push_back(backend("engine-" + std::to_string(i), "domain-" + std::to_string(i % 4)));
    state::instance_id const self{"entry-9"};

    auto const kept = backend_subset(self, all, 24);

    std::map<std::string, int> domains;
    for (auto const& b : kept)
        ++domains[b.failure_domain.str()];
    EXPECT_EQ(
        domains, (std::map<std::string, int>{
                     {"domain-0", 6}, {"domain-1", 6}, {"domain-2", 6}, {"domain-3", 6}}));
    auto const again = backend_subset(self, all, 24);
    for (std::size_t i = 0; i < kept.size(); ++i)
        EXPECT_EQ(kept[i].id, again[i].id);
}

TEST_F(routing_test, subsets_of_many_instances_include_every_backend)
{
    std::vector<backend_view> all;
    for (int i = 0; i < 600; ++i)
        all.push_back(backend("engine-" + std::to_string(i), "domain-" + std::to_string(i % 4)));
    std::map<backend_id, int> users;
    for (int n = 0; n < 360; ++n)
        for (auto const& b : backend_subset(state::instance_id{std::to_string(n)}, all, 24))
            ++users[b.id];

    EXPECT_EQ(users.size(), all.size());
}

TEST_F(routing_test, outlier_is_ejected_for_longer_each_time)
{
    outlier_detector const detector({});
    auto view = backend("x");
    view.consecutive_failures = 5;
    EXPECT_EQ(detector.decide_ejection(view, 0.0, now), now + 2s);
    view.ejections = 2;
    EXPECT_EQ(detector.decide_ejection(view, 0.0, now), now + 8s);
}

TEST_F(routing_test, outlier_is_not_ejected_when_half_of_the_service_is_ejected)
{
    auto view = backend("x");
    view.consecutive_failures = 50;

    EXPECT_FALSE(outlier_detector({}).decide_ejection(view, 0.5, now));
}

class backend_table_test : public testing::Test
{
protected:
    backend_table_test()
    {
        state::configuration::builder builder;
        state::failure_domain domain;
        domain.id = state::failure_domain_id{"a"};
        domain.region = state::region_id{"r"};
        builder.add(domain, {});
        state::service service;
        service.id = state::service_id{"s"};
        builder.add(service, {});
        for (auto const* name : {"x", "y"})
        {
            state::backend_server b;
            b.id = backend_id{name};
            b.service = state::service_id{"s"};
            b.failure_domain = state::failure_domain_id{"a"};
            builder.add(b, {});
        }
        state::findings found;
        config = builder.build(found);
        table.apply(*config, time_point{});
    }

    std::size_t routable() { return table.routable(state::service_id{"s"}, time_point{}).size(); }

    state::configuration_ptr config;
    state::backend_table table;
};

TEST_F(backend_table_test, leaving_mark_stays_when_the_configuration_is_applied_again)
{
    EXPECT_TRUE(table.mark_leaving(backend_id{"x"}, {}));
    EXPECT_FALSE(table.mark_leaving(backend_id{"x"}, {}));

    table.apply(*config, time_point{});

    EXPECT_TRUE(table.is_leaving(backend_id{"x"}));
    EXPECT_EQ(routable(), 1U);
}

TEST_F(backend_table_test, ejected_backend_is_routable_after_the_ejection)
{
    table.eject(backend_id{"x"}, time_point{2s});

    EXPECT_EQ(routable(), 1U);
    EXPECT_EQ(table.routable(state::service_id{"s"}, time_point{3s}).size(), 2U);
    EXPECT_EQ(table.ejected_share(state::service_id{"s"}, time_point{1s}), 0.5);
}

TEST_F(backend_table_test, older_load_report_changes_nothing)
{
    state::load_report fresh;
    fresh.running = 5;
    fresh.at = time_point{10s};
    state::load_report stale;
    stale.running = 1;
    stale.at = time_point{9s};
    table.record_load(backend_id{"x"}, fresh);

    table.record_load(backend_id{"x"}, stale);

    EXPECT_EQ(table.find(backend_id{"x"})->report.running, 5);
}

} // namespace
} // namespace auburnweir::coordination
