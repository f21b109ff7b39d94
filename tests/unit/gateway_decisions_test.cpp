#include "coordination/duty_lease.hpp"
#include "coordination/ejection_policy.hpp"
#include "coordination/fleet_planner.hpp"
#include "coordination/server_choice.hpp"
#include "coordination/store_clock.hpp"

#include <array>
#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::backend_id;
using state::failure_domain_id;
using state::server_view;

class gateway_decisions_test : public testing::Test
{
protected:
    static server_view server(std::string const& id, std::string const& domain, std::int64_t sent)
    {
        server_view v;
        v.listed.id = backend_id{id};
        v.listed.service = state::service_id{"chat"};
        v.listed.failure_domain = failure_domain_id{domain};
        v.listed.slots = 10;
        v.in_flight = sent;
        return v;
    }

    std::string chosen(
        choice_policy const& policy, std::vector<server_view> const& servers,
        std::string const& affinity = {}, std::set<backend_id> const& tried = {})
    {
        choice_request request;
        request.failure_domain = failure_domain_id{"near"};
        request.affinity = affinity;
        request.tried_backends = tried;
        auto const choice = choose_server(policy, servers, request, now, random);
        return choice ? choice->listed.id.str() : "none";
    }

    state::time_point now{1h};
    std::mt19937_64 random{7};
};

TEST_F(gateway_decisions_test, choose_among_equal_servers_prefers_the_own_failure_domain)
{
    std::vector const servers{server("far", "far", 0), server("near", "near", 0)};
    EXPECT_EQ(chosen(nearest_least_loaded{}, servers), "near");
}

TEST_F(gateway_decisions_test, choose_when_the_near_server_has_a_much_higher_load_chooses_a_far_one)
{
    std::vector const servers{server("far", "far", 0), server("near", "near", 9)};
    EXPECT_EQ(chosen(nearest_least_loaded{}, servers), "far");
}

TEST_F(gateway_decisions_test, choose_when_all_servers_were_tried_returns_none)
{
    std::vector const servers{server("a", "near", 0)};
    EXPECT_EQ(chosen(nearest_least_loaded{}, servers, "", {backend_id{"a"}}), "none");
}

TEST_F(gateway_decisions_test, choose_by_affinity_does_not_depend_on_the_order_of_servers)
{
    std::vector const one{server("a", "near", 1), server("b", "near", 2), server("c", "near", 0)};
    std::vector const two{one[2], one[0], one[1]};
    EXPECT_EQ(
        chosen(affinity_with_bounded_load{}, one, "p1"),
        chosen(affinity_with_bounded_load{}, two, "p1"));
}

TEST_F(gateway_decisions_test, choose_by_affinity_when_the_preferred_server_is_full_chooses_another)
{
    std::vector servers{server("a", "near", 0), server("b", "near", 0)};
    auto const preferred = chosen(affinity_with_bounded_load{}, servers, "p1");
    for (auto& s : servers)
        if (s.listed.id.str() == preferred)
            s.in_flight = 10;
    EXPECT_NE(chosen(affinity_with_bounded_load{}, servers, "p1"), preferred);
}

TEST_F(gateway_decisions_test, ejection_of_a_server_with_a_much_higher_failure_share_begins)
{
    auto bad = server("a", "near", 0);
    bad.failure_share = 0.6;
    std::vector const all{bad, server("b", "near", 0), server("c", "near", 0)};
    EXPECT_TRUE(decide_ejection(bad, all, now));
}

TEST_F(gateway_decisions_test, ejection_when_all_servers_fail_equally_does_not_begin)
{
    std::vector<server_view> all;
    for (auto const* id : {"a", "b", "c"})
    {
        all.push_back(server(id, "near", 0));
        all.back().failure_share = 0.6;
    }
    EXPECT_FALSE(decide_ejection(all[0], all, now));
}

TEST_F(gateway_decisions_test, ejection_of_more_than_half_of_a_service_does_not_begin)
{
    std::vector<server_view> all;
    for (auto const* id : {"a", "b", "c"})
    {
        all.push_back(server(id, "near", 0));
        all.back().failures_in_row = 5;
        all.back().ejected_until = now + 1s;
    }
    all[0].ejected_until.reset();
    EXPECT_FALSE(decide_ejection(all[0], all, now));
}

TEST_F(gateway_decisions_test, agreed_offset_with_a_minority_of_jumped_clocks_ignores_them)
{
    EXPECT_EQ(agreed_offset({1000ms, 1002ms, 5000ms, 998ms, -4000ms}), 1000ms);
    EXPECT_EQ(agreed_offset({}), std::nullopt);
}

TEST_F(gateway_decisions_test, store_clock_between_responses_advances_both_bounds)
{
    store_clock clock;
    clock.observe(5000ms, now, now + 20ms);
    EXPECT_EQ(clock.earliest(now + 120ms), 5100ms);
    EXPECT_EQ(clock.latest(now + 120ms), 5120ms);
}

TEST_F(gateway_decisions_test, usage_of_a_window_that_all_instances_have_counted_is_due)
{
    usage_progress p{state::window_number{7}, state::window_number{9}, 1s, 3, 3};
    EXPECT_TRUE(usage_is_due(p));
    p.counted_instances = 2;
    EXPECT_FALSE(usage_is_due(p));
    p.since_end = 6s;
    EXPECT_TRUE(usage_is_due(p));
}

TEST_F(
    gateway_decisions_test, usage_that_only_the_first_reporters_to_a_new_holder_counted_is_not_due)
{
    // The new holder knows from the lease's row and its own start how many instances there are.
    usage_progress const p{state::window_number{7}, state::window_number{9}, 4s, 12, 195};
    EXPECT_FALSE(usage_is_due(p));
}

TEST_F(gateway_decisions_test, usage_of_the_open_window_is_not_due)
{
    usage_progress const p{state::window_number{7}, state::window_number{8}, 6s, 3, 3};
    EXPECT_FALSE(usage_is_due(p));
}

class fleet_planner_test : public testing::Test
{
protected:
    fleet_planner_test()
    {
        service.id = state::service_id{"chat"};
        auto& bounds = service.fleet.emplace();
        bounds.min_engines = 1;
        bounds.max_engines = 6;
        for (auto const* domain : {"a", "b", "c"})
        {
            bounds.domain_prices[failure_domain_id{domain}] = 1;
            initial_fleet[group(domain, false)] = 3;
        }
        settings.reclaimable_factor = 1.5;
        settings.needed_share = 0.6;
    }

    state::fleet_group group(std::string const& domain, bool reclaimable) const
    {
        return {service.id, failure_domain_id{domain}, reclaimable};
    }

    std::int64_t planned(
        state::fleet_counts const& ready, std::string const& domain, bool reclaimable)
    {
        return plan_fleet(
            service, initial_fleet, ready, evacuated, settings)[group(domain, reclaimable)];
    }

    std::int64_t on_demand(state::fleet_counts const& ready)
    {
        return planned(ready, "a", false) + planned(ready, "b", false) + planned(ready, "c", false);
    }

    state::routed_service service;
    state::fleet_counts initial_fleet;
    std::set<failure_domain_id> evacuated;
    fleet_settings settings;
};

// Guards against engines that are ordered, and paid for, where nothing may be sent.
TEST_F(fleet_planner_test, plan_with_an_evacuated_domain_orders_nothing_there)
{
    evacuated = {failure_domain_id{"a"}};
    for (auto const& [planned_group, count] :
         plan_fleet(service, initial_fleet, initial_fleet, evacuated, settings))
        EXPECT_NE(planned_group.failure_domain, failure_domain_id{"a"});
}

// Guards against a service that is left with too few engines while a domain is evacuated.
TEST_F(fleet_planner_test, plan_with_an_evacuated_domain_replaces_its_engines_in_the_others)
{
    state::fleet_counts ready;
    for (auto const* domain : {"a", "b", "c"})
        ready[group(domain, true)] = 5;
    evacuated = {failure_domain_id{"a"}};
    // As after one reclaim: ten remain and six are needed; the next reclaim would leave five.
    EXPECT_EQ(planned(ready, "b", false) + planned(ready, "c", false), 1);
    evacuated.insert(failure_domain_id{"b"});
    EXPECT_EQ(planned(ready, "c", false), 1); // five remain; a group has six engines at most
    settings.needed_share = 1;
    EXPECT_EQ(planned(ready, "c", false), 1);
}

TEST_F(fleet_planner_test, plan_with_all_domains_evacuated_orders_nothing)
{
    evacuated = {failure_domain_id{"a"}, failure_domain_id{"b"}, failure_domain_id{"c"}};
    EXPECT_TRUE(plan_fleet(service, initial_fleet, {}, evacuated, settings).empty());
}

TEST_F(fleet_planner_test, plan_at_the_start_adds_reclaimable_engines_and_keeps_needed_ones)
{
    auto const ready = initial_fleet;
    EXPECT_EQ(planned(ready, "a", true), 5);
    EXPECT_EQ(on_demand(ready), 6); // the needed number; the others may stop
}

TEST_F(fleet_planner_test, plan_when_reclaimable_engines_are_ready_drops_on_demand_ones)
{
    auto ready = initial_fleet;
    for (auto const* domain : {"a", "b", "c"})
        ready[group(domain, true)] = 5;
    EXPECT_EQ(on_demand(ready), 0);
}

TEST_F(fleet_planner_test, plan_after_reclaims_that_leave_too_few_adds_on_demand_engines)
{
    state::fleet_counts ready;
    ready[group("c", true)] = 5;
    EXPECT_EQ(on_demand(ready), 1);
    EXPECT_EQ(planned(ready, "c", false), 0);
}

TEST_F(fleet_planner_test, plan_after_one_reclaim_covers_the_loss_of_another_domain)
{
    state::fleet_counts ready;
    ready[group("a", true)] = 5;
    ready[group("b", true)] = 5;
    // Ten remain and six are needed; after the next reclaim five would remain.
    EXPECT_EQ(on_demand(ready), 1);
    EXPECT_EQ(planned(ready, "c", false), 1);
}

/// Six domains with 23 engines each, of which a series of reclaims takes one domain after the
/// other.
class fleet_planner_series_test : public fleet_planner_test
{
protected:
    fleet_planner_series_test()
    {
        settings = {};
        service.fleet->max_engines = 60;
        initial_fleet.clear();
        for (auto const* domain : domains)
        {
            service.fleet->domain_prices[failure_domain_id{domain}] = 1;
            initial_fleet[group(domain, false)] = 23;
        }
    }

    /// On-demand engines planned when the reclaimable engines of the first `reclaimed` domains are
    /// gone.
    std::int64_t on_demand_after(int reclaimed)
    {
        state::fleet_counts ready;
        for (int i = reclaimed; i < 6; ++i)
            ready[group(domains[i], true)] = 39;
        std::int64_t sum = 0;
        for (auto const& [planned_group, count] :
             plan_fleet(service, initial_fleet, ready, {}, settings))
            sum += planned_group.reclaimable ? 0 : count;
        return sum;
    }

    static constexpr std::array domains{"a", "b", "c", "d", "e", "f"};
    static constexpr std::int64_t needed = 111; // 0.8 of 138
};

TEST_F(fleet_planner_series_test, plan_while_the_next_reclaim_leaves_enough_orders_nothing)
{
    EXPECT_EQ(on_demand_after(0), 0);
    EXPECT_EQ(on_demand_after(1), 0);
    EXPECT_EQ(on_demand_after(2), 0);
}

TEST_F(fleet_planner_series_test, plan_before_the_fourth_reclaim_covers_its_loss)
{
    EXPECT_EQ(on_demand_after(3), needed - 2 * 39);
}

TEST_F(fleet_planner_series_test, plan_after_the_fourth_reclaim_covers_what_is_missing)
{
    EXPECT_EQ(on_demand_after(4), needed - 2 * 39);
}

TEST_F(fleet_planner_test, plan_of_more_than_the_bounds_allow_stays_within_them)
{
    settings.needed_share = 3;
    state::fleet_counts const ready;
    for (auto const* domain : {"a", "b", "c"})
        EXPECT_LE(planned(ready, domain, false), 6);
}

/// A holder of the duties that continues from a copy of the lease's row.
class copied_duty_record_test : public testing::Test
{
protected:
    copied_duty_record_test()
    {
        record.reported_through = state::window_number{10};
        record.pending = pending_usage{state::window_number{11}, {}};
    }

    duty_record record;
};

// Guards against ONE: windows that were reported since the copy are reported again.
TEST_F(copied_duty_record_test, windows_and_pending_report_that_others_know_are_skipped)
{
    auto const rest = continued_from_copy(record, {state::window_number{12}, {}});
    EXPECT_EQ(rest.reported_through, state::window_number{12});
    EXPECT_FALSE(rest.pending);
}

TEST_F(copied_duty_record_test, pending_report_later_than_known_reports_is_kept)
{
    EXPECT_EQ(continued_from_copy(record, {state::window_number{10}, {}}), record);
    EXPECT_EQ(continued_from_copy(record, {state::window_number{3}, {}}), record);
}

// Guards against ONE: after a kill of all, no instance knows what was reported since the copy.
TEST_F(copied_duty_record_test, windows_that_ended_before_the_era_are_skipped_without_knowledge)
{
    record.pending.reset();
    auto const rest = continued_from_copy(record, {{}, state::window_number{14}});
    EXPECT_EQ(rest.reported_through, state::window_number{14});
    EXPECT_EQ(continued_from_copy(rest, {{}, state::window_number{14}}), rest);
}

TEST_F(copied_duty_record_test, windows_that_ended_in_the_era_are_reported)
{
    record.pending.reset();
    EXPECT_EQ(continued_from_copy(record, {{}, state::window_number{9}}), record);
    EXPECT_EQ(continued_from_copy(record, {{}, state::window_number{10}}), record);
}

TEST_F(copied_duty_record_test, pending_report_of_the_copy_is_repeated_before_windows_are_skipped)
{
    copy_knowledge const known{{}, state::window_number{14}};
    auto rest = continued_from_copy(record, known);
    EXPECT_EQ(rest, record);
    rest.reported_through = rest.pending->window;
    rest.pending.reset();
    EXPECT_EQ(continued_from_copy(rest, known).reported_through, state::window_number{14});
}

TEST_F(copied_duty_record_test, last_ended_window_excludes_the_open_one)
{
    state::wall_time const at{std::chrono::milliseconds{20'000}};
    EXPECT_EQ(last_ended_window(at, 5s), state::window_number{3});
    EXPECT_EQ(last_ended_window(at - 1ms, 5s), state::window_number{2});
}

TEST_F(copied_duty_record_test, usage_is_not_due_before_the_instances_could_tell_of_reports)
{
    usage_progress progress;
    progress.reported_through = state::window_number{10};
    progress.current = state::window_number{14};
    progress.since_end = 15s;
    progress.known_instances = 3;
    progress.since_copy_taken = 1s;
    EXPECT_FALSE(usage_is_due(progress));
    progress.since_copy_taken = usage_settings{}.takeover_wait;
    EXPECT_TRUE(usage_is_due(progress));
    progress.since_copy_taken = 1s;
    progress.counted_instances = 3;
    EXPECT_TRUE(usage_is_due(progress));
}

/// Orders for six engines that need 20 s to start.
class order_is_due_test : public testing::Test
{
protected:
    bool is_due(std::int64_t running, state::duration after) const
    {
        return order_is_due(last, 6, running, 20s, ordered_at + after);
    }

    state::time_point ordered_at{1000s};
    std::optional<placed_order> last = placed_order{6, ordered_at, true};
};

TEST_F(order_is_due_test, first_order_and_new_number_are_due_at_once)
{
    last->count = 5;
    EXPECT_TRUE(is_due(6, 0s));
    last.reset();
    EXPECT_TRUE(is_due(6, 0s));
}

TEST_F(order_is_due_test, accepted_order_is_due_again_only_for_engines_that_did_not_start)
{
    EXPECT_FALSE(is_due(6, 60s));
    EXPECT_FALSE(is_due(5, 22s));
    EXPECT_TRUE(is_due(5, 23s));
}

TEST_F(order_is_due_test, order_that_was_not_accepted_is_due_again_soon)
{
    last->accepted = false;
    EXPECT_FALSE(is_due(6, 1499ms));
    EXPECT_TRUE(is_due(6, 1500ms));
}

} // namespace
} // namespace auburnweir::coordination
