#include "coordination/admission_queue.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/retry_policy.hpp"
#include "state/backend_table.hpp"
#include "state/counters.hpp"
#include "state/instance_table.hpp"
#include "state/journal.hpp"

#include <gtest/gtest.h>
#include <thread>

/// The tables that workers share, used by many threads at once. The thread sanitizer watches these
/// tests for races; the assertions hold what must be true at the end.

namespace auburnweir::state
{
namespace
{

constexpr int threads = 8;
constexpr int rounds = 500;

template <class Work>
void on_all_threads(Work work)
{
    std::vector<std::thread> all;
    for (int t = 0; t < threads; ++t)
        all.emplace_back([&work, t] { work(t); });
    for (auto& one : all)
        one.join();
}

class shared_tables_test : public testing::Test
{
protected:
    shared_tables_test()
    {
        configuration::builder builder;
        failure_domain domain;
        domain.id = failure_domain_id{"d"};
        domain.region = region_id{"r"};
        builder.add(domain, {});
        service one;
        one.id = service_id{"s"};
        builder.add(one, {});
        for (int i = 0; i < 4; ++i)
        {
            backend_server b;
            b.id = backend_id{std::to_string(i)};
            b.service = one.id;
            b.failure_domain = domain.id;
            builder.add(b, {});
        }
        findings found;
        config = builder.build(found);
    }

    configuration_ptr config;
};

TEST_F(shared_tables_test, backend_table_used_by_all_threads_counts_every_request)
{
    backend_table table;
    table.apply(*config, time_point{});
    on_all_threads(
        [&](int t)
        {
            backend_id const id{std::to_string(t % 4)};
            for (int i = 0; i < rounds; ++i)
            {
                table.record_sent(id, token_count{1});
                table.record_load(id, {});
                (void)table.routable(service_id{"s"}, time_point{});
                if (i % 100 == 0)
                    table.apply(*config, time_point{});
                table.record_ended(id);
            }
        });
    for (auto const& view : table.all())
        EXPECT_EQ(view.in_flight, 0);
}

TEST_F(shared_tables_test, journal_with_concurrent_readers_shows_only_a_growing_answer)
{
    journal subject(chat_request{}, instance_id{"e"}, generation_tag{"g"});
    attempt_token const attempt{"a"};
    subject.begin_attempt(attempt);
    on_all_threads(
        [&](int t)
        {
            std::size_t seen = 0;
            for (int i = 0; i < rounds; ++i)
            {
                if (t == 0)
                    subject.append(attempt, "x");
                auto const key = subject.listen(journal_change::written, [] {});
                auto const part = subject.read_after({}, 100000);
                EXPECT_GE(part.tokens.size(), seen);
                seen = part.tokens.size();
                subject.unlisten(key);
            }
        });
    EXPECT_EQ(subject.last(), sequence_number{rounds});
}

TEST_F(shared_tables_test, journal_table_opens_each_id_for_one_thread_only)
{
    journal_table table;
    std::atomic<int> opened{0};
    on_all_threads(
        [&](int)
        {
            for (int i = 0; i < rounds; ++i)
            {
                chat_request request;
                request.header.id = request_id{std::to_string(i)};
                opened += table.open(request, instance_id{"e"}, generation_tag{"g"}) ? 1 : 0;
                (void)table.unfinished_of(instance_id{"other"});
            }
        });
    EXPECT_EQ(opened, rounds);
    EXPECT_EQ(table.size(), static_cast<std::size_t>(rounds));
}

TEST_F(shared_tables_test, admission_and_retries_under_contention_leave_nothing_behind)
{
    coordination::admission_settings settings;
    settings.capacity = threads;
    settings.reserved_share = 0;
    coordination::admission_queue queue(settings);
    coordination::retry_policy retries({});
    on_all_threads(
        [&](int t)
        {
            std::mt19937_64 random(static_cast<std::uint64_t>(t));
            coordination::admission_request request;
            request.organisation = organisation_id{std::to_string(t)};
            for (int i = 0; i < rounds; ++i)
            {
                auto const d = queue.offer(request, time_point{});
                retries.record_request(service_id{"s"});
                coordination::failed_attempt failed;
                failed.service = service_id{"s"};
                (void)retries.decide(failed, time_point{}, random);
                if (auto const* in = std::get_if<coordination::admitted>(&d))
                    queue.release(in->ticket, time_point{});
            }
        });
    EXPECT_EQ(queue.in_progress(), 0);
}

TEST_F(shared_tables_test, prefix_index_and_instances_take_concurrent_changes)
{
    coordination::prefix_index prefixes(100, std::chrono::minutes{1});
    instance_table instances;
    counters all;
    on_all_threads(
        [&](int t)
        {
            for (int i = 0; i < rounds; ++i)
            {
                backend_id const id{std::to_string(t)};
                prefixes.record_blocks(id, {static_cast<std::uint64_t>(i)}, time_point{});
                (void)prefixes.expected_hit(id, {1, 2, 3}, time_point{});
                instance one;
                one.id = instance_id{std::to_string(i % 3)};
                instances.apply({one});
                (void)instances.live();
                all.increment(event_counter::requests_accepted);
            }
        });
    EXPECT_LE(prefixes.size(), 100U);
    EXPECT_EQ(
        all.events().value(event_counter::requests_accepted),
        static_cast<std::uint64_t>(threads * rounds));
}

TEST(lock_rank_test, lower_rank_after_higher_is_not_allowed)
{
    EXPECT_TRUE(may_take(lock_rank::configuration, lock_rank::journal));
    EXPECT_FALSE(may_take(lock_rank::journal, lock_rank::configuration));
    EXPECT_FALSE(may_take(lock_rank::journal, lock_rank::journal));
}

} // namespace
} // namespace auburnweir::state
