#include "coordination/admission_queue.hpp"
#include "state/backend_table.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

/// Compares the backend table with a map as model, and checks the admission queue's invariants.

namespace auburnweir
{
namespace
{

using state::backend_id;
using state::time_point;

constexpr int backend_count = 5;

state::configuration_ptr configuration_with(std::set<int> const& present)
{
    state::configuration::builder builder;
    state::failure_domain domain;
    domain.id = state::failure_domain_id{"d"};
    domain.region = state::region_id{"r"};
    builder.add(domain, {});
    state::service service;
    service.id = state::service_id{"s"};
    builder.add(service, {});
    for (auto const i : present)
    {
        state::backend_server b;
        b.id = backend_id{std::to_string(i)};
        b.service = state::service_id{"s"};
        b.failure_domain = state::failure_domain_id{"d"};
        builder.add(b, {});
    }
    state::findings found;
    return builder.build(found);
}

struct model_backend
{
    bool leaving = false;
    std::int64_t in_flight = 0;
    std::int64_t ejected_until = 0;
};

struct model
{
    std::map<int, model_backend> present;
    std::int64_t now = 0;
};

using command = rc::state::Command<model, state::backend_table>;

void check_equal(model const& m, state::backend_table const& table)
{
    std::set<std::string> expected;
    for (auto const& [i, b] : m.present)
        if (!b.leaving && m.now >= b.ejected_until)
            expected.insert(std::to_string(i));
    std::set<std::string> routable;
    for (auto const& view :
         table.routable(state::service_id{"s"}, time_point{std::chrono::seconds{m.now}}))
        routable.insert(view.id.str());
    RC_ASSERT(routable == expected);
    for (auto const& [i, b] : m.present)
        RC_ASSERT(table.find(backend_id{std::to_string(i)})->in_flight == b.in_flight);
}

/// A command on one backend server; it must change nothing when the server is absent.
struct backend_command : command
{
    int index = *rc::gen::inRange(0, backend_count);

    backend_id id() const { return backend_id{std::to_string(index)}; }
    virtual void change(model_backend& b, model const& m) const = 0;
    virtual void call(state::backend_table& table, model const& m) const = 0;

    void apply(model& m) const override
    {
        auto const it = m.present.find(index);
        if (it != m.present.end())
            change(it->second, m);
    }
    void run(model const& m, state::backend_table& table) const override
    {
        call(table, m);
        check_equal(nextState(m), table);
    }
};

struct mark_leaving : backend_command
{
    void change(model_backend& b, model const&) const override { b.leaving = true; }
    void call(state::backend_table& table, model const&) const override
    {
        table.mark_leaving(id(), {});
    }
};

struct send_request : backend_command
{
    void change(model_backend& b, model const&) const override { ++b.in_flight; }
    void call(state::backend_table& table, model const&) const override
    {
        table.record_sent(id(), state::token_count{1});
    }
};

struct end_request : backend_command
{
    void change(model_backend& b, model const&) const override { --b.in_flight; }
    void call(state::backend_table& table, model const&) const override { table.record_end(id()); }
};

struct eject : backend_command
{
    std::int64_t seconds = *rc::gen::inRange<std::int64_t>(0, 20);

    void change(model_backend& b, model const& m) const override
    {
        b.ejected_until = m.now + seconds;
    }
    void call(state::backend_table& table, model const& m) const override
    {
        table.eject(id(), time_point{std::chrono::seconds{m.now + seconds}});
    }
};

struct pass_time : command
{
    std::int64_t seconds = *rc::gen::inRange<std::int64_t>(0, 10);

    void apply(model& m) const override { m.now += seconds; }
    void run(model const& m, state::backend_table& table) const override
    {
        check_equal(nextState(m), table);
    }
};

struct reconfigure : command
{
    std::set<int> configured =
        *rc::gen::container<std::set<int>>(rc::gen::inRange(0, backend_count));

    void apply(model& m) const override
    {
        std::map<int, model_backend> next;
        for (auto const i : configured)
            next[i] = m.present.contains(i) ? m.present.at(i) : model_backend{};
        m.present = next;
    }
    void run(model const& m, state::backend_table& table) const override
    {
        table.apply(*configuration_with(configured), time_point{std::chrono::seconds{m.now}});
        check_equal(nextState(m), table);
    }
};

RC_GTEST_PROP(backend_table_property, any_command_sequence_matches_the_map_model, ())
{
    model const initial;
    state::backend_table table;
    rc::state::check(
        initial, table,
        rc::state::gen::execOneOfWithArgs<
            mark_leaving, send_request, end_request, eject, pass_time, reconfigure, reconfigure>());
}

RC_GTEST_PROP(admission_property, any_sequence_of_offers_and_releases_stays_within_the_limits, ())
{
    using namespace coordination;
    admission_settings settings;
    settings.capacity = *rc::gen::inRange<std::int64_t>(1, 6);
    settings.queue_limit = *rc::gen::inRange<std::int64_t>(0, 6);
    admission_queue queue(settings);
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> waiting;
    auto const apply = [&](admission_changes const& changes)
    {
        for (auto const t : changes.admitted)
        {
            RC_ASSERT(waiting.erase(t.count()) == 1U);
            running.insert(t.count());
        }
        for (auto const t : changes.expired)
            RC_ASSERT(waiting.erase(t.count()) == 1U);
    };
    time_point now{};
    auto const actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (auto const a : actions)
    {
        now += std::chrono::seconds{a % 3};
        if (a < 50)
        {
            admission_request r;
            r.organisation = state::organisation_id{std::to_string(a % 4)};
            r.weight = 1 + a % 3;
            r.priority = static_cast<state::priority>(a % 3);
            r.cost = state::token_count{a + 1};
            if (a % 5 == 0)
                r.deadline = now + std::chrono::seconds{a};
            auto const d = queue.offer(r, now);
            if (auto const* in = std::get_if<admitted>(&d))
                running.insert(in->ticket.count());
            if (auto const* q = std::get_if<queued>(&d))
                waiting.insert(q->ticket.count());
        }
        else if (a < 90 && !running.empty())
        {
            ticket_number const ended{*running.begin()};
            running.erase(running.begin());
            apply(queue.release(ended, now));
        }
        else
            apply(queue.expire(now));
        RC_ASSERT(queue.in_progress() == static_cast<std::int64_t>(running.size()));
        RC_ASSERT(queue.waiting() == static_cast<std::int64_t>(waiting.size()));
        RC_ASSERT(queue.in_progress() <= settings.capacity);
        RC_ASSERT(queue.waiting() <= std::max<std::int64_t>(settings.queue_limit, 1));
    }
}

} // namespace
} // namespace auburnweir
