#include "coordination/gossip.hpp"
#include "coordination/group_commit.hpp"
#include "coordination/journal_placement.hpp"
#include "coordination/resume_planner.hpp"
#include "coordination/review_claims.hpp"
#include "coordination/write_placement.hpp"
#include "state/instance_table.hpp"

#include <gtest/gtest.h>
#include <set>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::instance;
using state::instance_id;
using state::time_point;

class placement_test : public testing::Test
{
protected:
    placement_test()
    {
        for (int i = 0; i < 12; ++i)
        {
            instance one;
            one.id = instance_id{"entry-" + std::to_string(i)};
            one.failure_domain = state::failure_domain_id{"domain-" + std::to_string(i % 4)};
            one.region = state::region_id{i % 4 < 2 ? "east" : "west"};
            live.push_back(one);
        }
    }

    std::vector<instance> live;
    std::mt19937_64 random{5};
};

TEST_F(placement_test, replica_order_starts_in_another_domain_of_the_same_region)
{
    for (int i = 0; i < 100; ++i)
    {
        auto const order = replica_order(state::request_id{std::to_string(i)}, live[0], live);
        ASSERT_EQ(order.size(), 9U);
        EXPECT_NE(order[0].failure_domain, live[0].failure_domain);
        EXPECT_EQ(order[0].region, live[0].region);
    }
}

TEST_F(placement_test, leaving_instances_are_not_in_the_replica_order)
{
    for (std::size_t i = 1; i < live.size(); ++i)
        live[i].leaving = true;
    EXPECT_TRUE(replica_order(state::request_id{"r"}, live[0], live).empty());
}

TEST_F(placement_test, lookup_order_has_the_replica_of_any_owner_among_the_first_four)
{
    for (int i = 0; i < 100; ++i)
    {
        state::request_id const id{std::to_string(i)};
        auto const holder = replica_order(id, live[i % 12], live).at(0);
        auto const order = lookup_order(id, live);
        auto const place = std::find_if(
            order.begin(), order.end(), [&](instance const& x) { return x.id == holder.id; });
        EXPECT_LT(place - order.begin(), 4);
    }
}

TEST_F(placement_test, write_shard_owner_of_a_row_is_never_a_leaving_instance)
{
    state::row_key const key{"ledger/x"};
    auto const chosen = write_shard_owner(key, live);
    ASSERT_TRUE(chosen);
    for (auto& i : live)
        i.leaving = i.id == chosen->id;

    EXPECT_NE(write_shard_owner(key, live)->id, chosen->id);
    EXPECT_FALSE(write_shard_owner(key, {}));
}

TEST_F(placement_test, gossip_targets_are_other_instances)
{
    auto const reported = gossip_targets(live[0].id, live, random);
    std::set<std::string> names;
    for (auto const& i : reported)
        names.insert(i.id.str());
    EXPECT_EQ(names.size(), gossip_fanout);
    EXPECT_FALSE(names.contains(live[0].id.str()));
}

TEST_F(placement_test, gossip_forwarded_once_by_each_reaches_nearly_all_of_360_instances)
{
    std::vector<instance> fleet(360);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet[i].id = instance_id{std::to_string(i)};
    std::set<std::string> reported{"0"};
    std::vector<std::string> fresh{"0"};
    int rounds = 0;
    for (; !fresh.empty(); ++rounds)
    {
        std::vector<std::string> next;
        for (auto const& who : fresh)
            for (auto const& i : gossip_targets(instance_id{who}, fleet, random))
                if (reported.insert(i.id.str()).second)
                    next.push_back(i.id.str());
        fresh = next;
    }
    EXPECT_GE(reported.size(), 356U);
    EXPECT_LE(rounds, 8);
}

TEST_F(placement_test, instance_table_with_a_leaving_mark_keeps_it_when_an_older_list_is_applied)
{
    state::instance_table table;
    live[0].incarnation = state::incarnation_number{2};
    table.apply(live);
    EXPECT_TRUE(table.mark_leaving(live[0].id));

    auto older = live;
    older[0].incarnation = state::incarnation_number{1};
    table.apply(older);

    EXPECT_TRUE(table.find(live[0].id)->leaving);
    EXPECT_EQ(table.find(live[0].id)->incarnation, state::incarnation_number{2});
    live[0].incarnation = state::incarnation_number{3};
    table.apply(live);
    EXPECT_FALSE(table.find(live[0].id)->leaving);
}

class resume_planner_test : public testing::Test
{
protected:
    stream_progress stream()
    {
        stream_progress s;
        s.prompt = state::token_count{4000};
        s.generated = state::token_count{100};
        s.max_remaining = state::token_count{100};
        s.decode_tokens_per_second = 20;
        s.time_left = 2s;
        s.supports_export = true;
        return s;
    }

    resume_target target()
    {
        resume_target t;
        t.prefill_tokens_per_second = 1000;
        t.supports_import = true;
        return t;
    }

    template <class Plan>
    bool plans(stream_progress const& s, resume_target const& t)
    {
        return std::holds_alternative<Plan>(plan_resume(s, t, {}));
    }
};

TEST_F(resume_planner_test, stream_that_ends_in_time_continues_in_place)
{
    auto s = stream();
    s.time_left = 10s;
    EXPECT_TRUE(plans<continue_in_place>(s, target()));
}

TEST_F(resume_planner_test, stream_with_a_long_prefix_is_transferred)
{
    EXPECT_TRUE(plans<transfer_kv_cache>(stream(), target()));
}

TEST_F(resume_planner_test, stream_of_a_lost_backend_is_recomputed)
{
    auto s = stream();
    s.backend_lost = true;
    EXPECT_TRUE(plans<recompute_elsewhere>(s, target()));
}

TEST_F(resume_planner_test, stream_with_a_cached_prefix_is_recomputed)
{
    auto t = target();
    t.expected_hit = state::token_count{4096};
    auto const plan = plan_resume(stream(), t, {});
    EXPECT_EQ(std::get<recompute_elsewhere>(plan).recomputed, state::token_count{4});
}

TEST_F(resume_planner_test, stream_to_another_region_is_recomputed_because_of_the_volume_price)
{
    auto t = target();
    t.other_region = true;
    EXPECT_TRUE(plans<recompute_elsewhere>(stream(), t));
}

TEST_F(resume_planner_test, stream_without_time_for_a_transfer_is_recomputed)
{
    auto s = stream();
    s.time_left = 100ms;
    EXPECT_TRUE(plans<recompute_elsewhere>(s, target()));
}

class review_claims_test : public testing::Test
{
protected:
    review_claims_test()
    {
        review.id = state::request_id{"r"};
        review.accepted_at = start;
    }

    std::optional<state::review_record> claim(double load, state::wall_time at)
    {
        return next_claim(review, instance_id{"me"}, load, at, settings);
    }

    state::wall_time start{1000h};
    review_settings settings;
    state::review_record review;
};

TEST_F(review_claims_test, waiting_review_runs_at_low_load_or_after_the_maximum_delay)
{
    EXPECT_TRUE(claim(0.1, start));
    EXPECT_FALSE(claim(0.9, start + 1h));
    EXPECT_TRUE(claim(0.9, start + 5h));
}

TEST_F(review_claims_test, claim_raises_the_fencing_number)
{
    EXPECT_EQ(claim(0, start)->fencing, state::fencing_number{1});
}

TEST_F(review_claims_test, expired_claim_is_claimed_again_only_after_the_clock_bound)
{
    review.state = state::review_claimed{instance_id{"other"}, start + 10s};
    EXPECT_FALSE(claim(0, start + 10500ms));
    EXPECT_TRUE(claim(0, start + 11500ms));
}

TEST_F(review_claims_test, former_holder_can_neither_renew_nor_finish)
{
    auto const mine = *claim(0, start);
    review = mine;
    auto const theirs = *next_claim(review, instance_id{"other"}, 0, start + 1min, settings);

    EXPECT_FALSE(renewed_claim(theirs, instance_id{"me"}, mine.fencing, start, settings));
    EXPECT_FALSE(finished_review(theirs, instance_id{"me"}, mine.fencing, "object"));
    EXPECT_TRUE(finished_review(mine, instance_id{"me"}, mine.fencing, "object"));
}

class group_commit_test : public testing::Test
{
protected:
    void add(std::string const& key, time_point at)
    {
        grouping.add({write_ticket{++last}, {state::row_key{key}, state::row_version{0}, "v"}}, at);
    }

    group_commit grouping{group_commit_settings{5ms, 3, 2}};
    std::uint64_t last = 0;
    time_point now{1h};
};

TEST_F(group_commit_test, writes_within_the_window_form_one_batch_at_its_end)
{
    add("a", now);
    add("b", now + 2ms);
    EXPECT_FALSE(grouping.next_batch(now + 4ms));
    EXPECT_EQ(grouping.due_at(), now + 5ms);
    EXPECT_EQ(grouping.next_batch(now + 5ms)->size(), 2U);
}

TEST_F(group_commit_test, full_batch_is_returned_without_waiting)
{
    for (auto const* key : {"a", "b", "c", "d"})
        add(key, now);
    EXPECT_EQ(grouping.next_batch(now)->size(), 3U);
    EXPECT_FALSE(grouping.next_batch(now));
}

TEST_F(group_commit_test, writes_of_one_row_go_in_separate_batches_in_order)
{
    add("a", now);
    add("a", now);
    auto const first = grouping.next_batch(now + 5ms);
    ASSERT_EQ(first->size(), 1U);
    EXPECT_FALSE(grouping.next_batch(now + 10ms));

    grouping.mark_completed(*first);

    EXPECT_EQ(grouping.next_batch(now + 10ms)->at(0).ticket, write_ticket{2});
}

TEST_F(group_commit_test, batches_in_flight_stay_within_the_limit)
{
    for (auto const* key : {"a", "b", "c", "d", "e", "f", "g"})
        add(key, now);
    auto const first = grouping.next_batch(now);
    grouping.next_batch(now);
    EXPECT_FALSE(grouping.next_batch(now + 1s));
    grouping.mark_completed(*first);
    EXPECT_EQ(grouping.next_batch(now + 1s)->size(), 1U);
}

} // namespace
} // namespace auburnweir::coordination
