#include "coordination/admission_queue.hpp"
#include "coordination/placement_activation.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/retry_policy.hpp"
#include "coordination/server_rating_table.hpp"
#include "state/backend_table.hpp"
#include "state/counters.hpp"
#include "state/instance_table.hpp"
#include "state/journal.hpp"
#include "state/server_observation_table.hpp"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

/// Concurrent use of the tables that workers share. The thread sanitizer finds data races; the
/// assertions check the state after all threads have ended.

namespace auburnweir::state
{
namespace
{

constexpr int thread_count = 8;
constexpr int rounds_per_thread = 500;

template <class Work>
void on_all_threads(Work work)
{
    std::vector<std::thread> threads;
    for (int t = 0; t < thread_count; ++t)
        threads.emplace_back([&work, t] { work(t); });
    for (auto& thread : threads)
        thread.join();
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
        service target;
        target.id = service_id{"s"};
        builder.add(target, {});
        for (int i = 0; i < 4; ++i)
        {
            backend_server b;
            b.id = backend_id{std::to_string(i)};
            b.service = target.id;
            b.failure_domain = domain.id;
            builder.add(b, {});
        }
        findings found;
        config = builder.build(found);
    }

    configuration_ptr config;
};

TEST_F(shared_tables_test, observations_of_concurrent_streams_are_reported_once)
{
    server_observation_table observations;
    coordination::server_rating_table ratings;
    observations.set_rated_services({service_id{"s"}});
    std::atomic<std::uint64_t> reported{0};
    auto const report = [&]
    {
        auto const seen = observations.take(time_point{});
        ratings.merge(seen, time_point{});
        (void)ratings.changes_since(rating_version{}, 2, time_point{});
        for (auto const& o : seen)
            reported += o.intervals.count;
    };
    on_all_threads(
        [&](int t)
        {
            listed_server server;
            server.id = backend_id{std::to_string(t % 4)};
            server.service = service_id{"s"};
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                observations.record_intervals(server, {1, duration{20000}});
                observations.record_load(server, {1, 0, 8, std::nullopt}, time_point{});
                if (i % 50 == 0)
                    report();
            }
        });
    report();
    EXPECT_EQ(reported, static_cast<std::uint64_t>(thread_count * rounds_per_thread));
    EXPECT_EQ(ratings.size(), 4U);
}

TEST_F(shared_tables_test, backend_table_with_concurrent_requests_counts_each_request)
{
    backend_table table;
    table.apply(*config, time_point{});
    on_all_threads(
        [&](int t)
        {
            backend_id const id{std::to_string(t % 4)};
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                table.record_sent(id, token_count{1});
                table.record_load(id, {});
                (void)table.routable(service_id{"s"}, time_point{});
                if (i % 100 == 0)
                    table.apply(*config, time_point{});
                table.record_end(id);
            }
        });
    for (auto const& view : table.all())
        EXPECT_EQ(view.in_flight, 0);
}

// Guards against an entry of an older configuration that is returned for a newer one.
TEST_F(shared_tables_test, placement_table_with_concurrent_configurations_answers_for_each)
{
    using namespace std::chrono_literals;
    route urgent;
    urgent.prefix = "/urgent/";
    urgent.streaming = true;
    urgent.latency_objective = 500ms;
    urgent.targets = {{service_id{"s"}, 1}};
    auto patient = urgent;
    patient.prefix = "/patient/";
    patient.latency_objective = 2000ms;
    auto const one = route_set::builder{}.add(urgent).build();
    auto const both = route_set::builder{}.add(urgent).add(patient).build();
    coordination::placement_table table(coordination::placement_setting::automatic);
    on_all_threads(
        [&](int t)
        {
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                EXPECT_EQ(table.of(t % 2 ? both : one, service_id{"s"}).separate_lanes, t % 2 == 1);
                table.record_work_factor(service_id{"other-" + std::to_string(t)});
            }
        });
}

TEST_F(shared_tables_test, journal_with_concurrent_readers_never_shrinks)
{
    journal subject(chat_request{}, instance_id{"e"}, generation_tag{"g"});
    attempt_token const attempt{"a"};
    subject.begin_attempt(attempt);
    on_all_threads(
        [&](int t)
        {
            std::size_t previous_size = 0;
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                if (t == 0)
                    subject.append(attempt, "x");
                auto const key = subject.listen(journal_change::written, [] {});
                auto const chunk = subject.read_after({}, 100000);
                EXPECT_GE(chunk.tokens.size(), previous_size);
                previous_size = chunk.tokens.size();
                subject.unlisten(key);
            }
        });
    EXPECT_EQ(subject.last(), sequence_number{rounds_per_thread});
}

TEST_F(shared_tables_test, journal_table_with_concurrent_opens_opens_each_id_once)
{
    journal_table table;
    std::atomic<int> opened{0};
    on_all_threads(
        [&](int)
        {
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                chat_request request;
                request.header.id = request_id{std::to_string(i)};
                opened += table.open(request, instance_id{"e"}, generation_tag{"g"}) ? 1 : 0;
                (void)table.unfinished_of(instance_id{"other"});
            }
        });
    EXPECT_EQ(opened, rounds_per_thread);
    EXPECT_EQ(table.size(), static_cast<std::size_t>(rounds_per_thread));
}

TEST_F(shared_tables_test, admission_and_retries_under_contention_end_with_no_request_in_progress)
{
    coordination::admission_settings settings;
    settings.capacity = thread_count;
    settings.reserved_share = 0;
    coordination::admission_queue queue(settings);
    coordination::retry_policy retries({});
    on_all_threads(
        [&](int t)
        {
            std::mt19937_64 random(static_cast<std::uint64_t>(t));
            coordination::admission_request request;
            request.organisation = organisation_id{std::to_string(t)};
            for (int i = 0; i < rounds_per_thread; ++i)
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

TEST_F(shared_tables_test, prefix_index_and_instances_with_concurrent_changes_stay_consistent)
{
    coordination::prefix_index prefixes(100, std::chrono::minutes{1});
    instance_table instances;
    counters counted;
    on_all_threads(
        [&](int t)
        {
            for (int i = 0; i < rounds_per_thread; ++i)
            {
                backend_id const id{std::to_string(t)};
                prefixes.record_blocks(id, {static_cast<std::uint64_t>(i)}, time_point{});
                (void)prefixes.expected_hit(id, {1, 2, 3}, time_point{});
                instance listed;
                listed.id = instance_id{std::to_string(i % 3)};
                instances.apply({listed});
                (void)instances.live();
                counted.increment(event_counter::requests_accepted);
            }
        });
    EXPECT_LE(prefixes.size(), 100U);
    EXPECT_EQ(
        counted.events().value(event_counter::requests_accepted),
        static_cast<std::uint64_t>(thread_count * rounds_per_thread));
}

TEST(lock_rank_test, lower_or_equal_rank_after_higher_rank_is_refused)
{
    EXPECT_TRUE(may_acquire(lock_rank::configuration, lock_rank::journal));
    EXPECT_FALSE(may_acquire(lock_rank::journal, lock_rank::configuration));
    EXPECT_FALSE(may_acquire(lock_rank::journal, lock_rank::journal));
}

} // namespace
} // namespace auburnweir::state
