#include "coordination/lease_claim.hpp"
#include "coordination/lease_turns.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

/// Machines take, renew and release a lease, are killed and start again, also while they release
/// it. Responses of the store are lost, writes are applied late, the store comes back from copies,
/// and the row may be that of an earlier version. Holders never act in the order A, B, A within the
/// bound.

namespace auburnweir::coordination
{
namespace
{

using state::wall_time;
using std::chrono::milliseconds;

constexpr milliseconds bound{3000};

lease_settings bounds()
{
    lease_settings s;
    s.length = bound + milliseconds{800};
    s.clock_bound = milliseconds{200};
    s.delivery_bound = milliseconds{800};
    s.return_interval = bound;
    return s;
}

struct stored_row
{
    std::optional<state::lease_record> lease;
    state::row_version version;
};

/// A conditional write that may be applied later.
struct delayed_write
{
    state::lease_record lease;
    state::row_version expected;
    state::store_era era;
    wall_time applied_at;
};

/// One process of a machine.
struct process
{
    std::optional<state::lease_record> lease;
    state::row_version version; ///< of the row of `lease`
    std::optional<wall_time> acted_until;
    std::optional<state::lease_record> last_held;
    state::store_era era;
    wall_time era_seen_at{};
    wall_time calls_until{}; ///< a call is in progress
};

struct machine
{
    state::instance_id id;
    milliseconds clock_error{0};
    process running;
};

struct call
{
    wall_time at;
    state::instance_id holder;
};

class model
{
public:
    model()
    {
        for (int i = 0; i < 3; ++i)
        {
            // Half of the clock bound each way: two machines differ by the bound at most.
            milliseconds const error{*rc::gen::inRange(-100, 101)};
            machines_.push_back({state::instance_id{std::to_string(i)}, error, {}});
        }
        copies_.push_back(row_);
    }

    void step(int choice)
    {
        time_ += milliseconds{choice % 31 * 10};
        apply_late_writes();
        auto& m = machines_[static_cast<std::size_t>(choice) % machines_.size()];
        switch (choice / 3 % action_count)
        {
        case 0:
        case 1:
        case 2:
            for (auto& each : machines_)
                act(each, choice);
            break;
        case 3:
        case 4:
        case 5:
        case 6:
            claim_or_renew(m, choice);
            break;
        case 7:
        case 8:
            for (auto& each : machines_)
                release(each, choice);
            break;
        case kill_action:
            m.running = {};
            break;
        case 10:
            rewrite_as_earlier_version(choice);
            break;
        default:
            restore(choice);
        }
    }

    void check_calls()
    {
        std::ranges::stable_sort(calls_, {}, &call::at);
        for (std::size_t last = 0; last < calls_.size(); ++last)
        {
            bool others_between = false;
            for (auto i = last; i-- > 0 && calls_[last].at - calls_[i].at <= bound;)
            {
                bool const is_own = calls_[i].holder == calls_[last].holder;
                RC_ASSERT(!is_own || !others_between);
                others_between = others_between || !is_own;
            }
        }
    }

private:
    static constexpr int action_count = 12;
    /// Restores and old rows stop the duties for seconds, so that few calls would be left.
    static constexpr int rare_event = 17;
    static constexpr int kill_action = 9;

    wall_time local_time(machine const& m) const { return time_ + m.clock_error; }
    bool is_calling(machine const& m) const { return time_ < m.running.calls_until; }

    void act(machine& m, int choice)
    {
        auto& p = m.running;
        bool const may_act =
            !is_calling(m) && p.lease && era_of(p.lease->fencing) == p.era &&
            may_send_order(*p.lease, m.id, state::fencing_mode::ignored, local_time(m), settings_);
        if (!may_act)
            return;
        // Most calls are fast; a slow one arrives at the end of its timeout.
        milliseconds const delay{choice % 4 == 0 ? choice % 800 : 5};
        p.acted_until = local_time(m) + delay;
        p.calls_until = time_ + delay;
        calls_.push_back({time_ + delay, m.id});
    }

    void observe_store(machine& m)
    {
        auto& p = m.running;
        if (p.era == era_)
            return;
        bool const is_first = p.era == state::store_era{0};
        p.era = era_;
        p.era_seen_at = time_;
        if (is_first)
            return;
        if (p.lease)
            p.last_held = p.lease;
        p.lease.reset();
    }

    void claim_or_renew(machine& m, int choice)
    {
        if (is_calling(m))
            return;
        observe_store(m);
        auto& p = m.running;
        if (p.lease)
        {
            auto const renewed = lease_to_write(p.lease, m.id, local_time(m), settings_);
            if (!renewed || renewed->fencing != p.lease->fencing)
                lose_lease(p);
            else
                write(m, *renewed, p.version, choice);
            return;
        }
        lease_reading const reading{
            row_.lease, {era_, row_.version}, time_ - p.era_seen_at, p.last_held};
        auto const claim = claim_lease(reading, m.id, local_time(m), settings_);
        auto replaced = row_.lease;
        std::optional<state::lease_record> claimed;
        if (auto const* of_row = std::get_if<claim_of_row>(&claim))
            claimed = of_row->lease;
        else if (auto const* of_copy = std::get_if<claim_of_copy>(&claim))
            claimed = of_copy->lease;
        else if (auto const* of_last = std::get_if<claim_of_last_holder>(&claim))
        {
            claimed = of_last->lease;
            replaced = p.last_held;
        }
        if (!claimed)
            return;
        p.acted_until = replaced ? inherited_acted_until(*replaced, m.id) : std::nullopt;
        write(m, *claimed, row_.version, choice);
    }

    void release(machine& m, int choice)
    {
        auto& p = m.running;
        if (!p.lease || is_calling(m))
            return;
        auto const released = released_lease(*p.lease, local_time(m), p.acted_until);
        write(m, released, p.version, choice);
        m.running = {}; // the process ends, or is killed before it knows of the result
    }

    /// Writes a row. The response may be lost, and the write may be applied later.
    void write(
        machine& m, state::lease_record const& lease, state::row_version expected, int choice)
    {
        auto& p = m.running;
        bool const is_late = choice % 7 == 0;
        bool const is_response_lost = is_late || choice % 5 == 0;
        delayed_write w{lease, expected, era_, time_};
        if (is_late)
            w.applied_at += milliseconds{choice % 11 * 300};
        late_writes_.push_back(w);
        apply_late_writes();
        bool const applied = row_.lease == lease;
        if (is_response_lost || !applied)
        {
            lose_lease(p);
            return;
        }
        p.lease = lease;
        p.version = row_.version;
    }

    static void lose_lease(process& p)
    {
        if (p.lease)
            p.last_held = p.lease;
        p.lease.reset();
    }

    void apply_late_writes()
    {
        std::ranges::stable_sort(late_writes_, {}, &delayed_write::applied_at);
        while (!late_writes_.empty() && late_writes_.front().applied_at <= time_)
        {
            auto const w = late_writes_.front();
            late_writes_.pop_front();
            if (w.era != era_ || w.expected != row_.version)
                continue;
            copies_.push_back(row_);
            row_ = {w.lease, row_.version + state::row_version{1}};
        }
    }

    /// The gateways of an earlier version write the row without a history.
    void rewrite_as_earlier_version(int choice)
    {
        if (choice % rare_event == 0 && row_.lease)
            row_.lease->history.reset();
    }

    void restore(int choice)
    {
        if (choice % rare_event != 0)
            return;
        auto const version = row_.version;
        row_ = copies_[static_cast<std::size_t>(choice) % copies_.size()];
        row_.version = version + state::row_version{1};
        era_ += state::store_era{1};
    }

    lease_settings settings_ = bounds();
    std::vector<machine> machines_;
    stored_row row_;
    std::vector<stored_row> copies_;
    std::deque<delayed_write> late_writes_;
    state::store_era era_{1};
    wall_time time_{std::chrono::hours{1000}};
    std::vector<call> calls_;
};

// Guards against ONE: A, B, A within the bound after releases, kills, restarts and restores.
RC_GTEST_PROP(lease_turns_property, holders_never_alternate_within_the_bound, ())
{
    model m;
    auto const steps =
        *rc::gen::resize(400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000)));
    for (auto const s : steps)
        m.step(s);
    m.check_calls();
}

} // namespace
} // namespace auburnweir::coordination
