#include "coordination/order_lease.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

/// Holders with inaccurate clocks and long pauses send orders that arrive with a delay. No order
/// takes effect after one of a later holder, whether the backend server checks fencing numbers or
/// not.

namespace auburnweir::coordination
{
namespace
{

using state::wall_time;

struct holder
{
    state::instance_id id;
    std::chrono::milliseconds clock_error{};
    std::optional<state::lease_record> lease;
};

struct delayed_order
{
    wall_time arrives_at;
    state::fencing_number fencing;
};

/// A backend server that receives orders.
class ordered_server
{
public:
    explicit ordered_server(state::fencing_mode mode)
        : mode_(mode)
    {
    }

    /// Applies an order; it must not follow one of a later holder.
    void apply(delayed_order const& order)
    {
        if (mode_ == state::fencing_mode::checked && order.fencing < highest_fencing_)
            return;
        RC_ASSERT(order.fencing >= highest_fencing_);
        highest_fencing_ = order.fencing;
    }

private:
    state::fencing_mode mode_;
    state::fencing_number highest_fencing_;
};

void check_orders(state::fencing_mode mode)
{
    lease_settings const settings;
    auto const clock_bound =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.clock_bound) / 2;
    std::vector<holder> holders;
    for (int i = 0; i < 3; ++i)
    {
        auto const error =
            *rc::gen::inRange<std::int64_t>(-clock_bound.count(), clock_bound.count() + 1);
        holders.push_back(
            {state::instance_id{std::to_string(i)}, std::chrono::milliseconds{error}, {}});
    }
    std::optional<state::lease_record> row;
    std::vector<delayed_order> orders;
    ordered_server server(mode);
    wall_time time{std::chrono::hours{1000}};
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (auto const s : steps)
    {
        time += std::chrono::milliseconds{s % 97 * 40};
        std::sort(
            orders.begin(), orders.end(),
            [](auto const& a, auto const& b) { return a.arrives_at < b.arrives_at; });
        while (!orders.empty() && orders.front().arrives_at <= time)
        {
            server.apply(orders.front());
            orders.erase(orders.begin());
        }
        auto& h = holders[static_cast<std::size_t>(s) % holders.size()];
        auto const local_time = time + h.clock_error;
        if (s % 5 == 0)
        {
            // The write is conditional on the row as it was read, and its response may be lost.
            auto const new_lease = lease_to_write(row, h.id, local_time, settings);
            if (new_lease)
                row = new_lease;
            if (new_lease && s % 10 != 0)
                h.lease = new_lease;
        }
        else if (h.lease && may_send_order(*h.lease, h.id, mode, local_time, settings))
        {
            auto const max_delay =
                std::chrono::duration_cast<std::chrono::milliseconds>(settings.delivery_bound);
            auto const delay = std::chrono::milliseconds{s * 7 % (max_delay.count() + 1)};
            orders.push_back({time + delay, h.lease->fencing});
        }
    }
}

RC_GTEST_PROP(lease_property, orders_to_a_server_that_checks_fencing_never_conflict, ())
{
    check_orders(state::fencing_mode::checked);
}

RC_GTEST_PROP(lease_property, orders_to_a_server_that_ignores_fencing_never_conflict, ())
{
    check_orders(state::fencing_mode::ignored);
}

} // namespace
} // namespace auburnweir::coordination
