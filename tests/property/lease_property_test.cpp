#include "coordination/order_lease.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

/// Holders with wrong clocks and long pauses send orders that travel; at most one holder's orders
/// take effect at a time, whether the backend server checks fencing numbers or not.

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

struct travelling_order
{
    wall_time arrives;
    state::fencing_number number;
};

/// One backend server that takes orders.
class ordered_server
{
public:
    explicit ordered_server(state::fencing_mode mode)
        : mode_(mode)
    {
    }

    /// An order takes effect. It must not follow one of a later holder.
    void arrive(travelling_order const& order)
    {
        if (mode_ == state::fencing_mode::checked && order.number < highest_)
            return;
        RC_ASSERT(order.number >= highest_);
        highest_ = order.number;
    }

private:
    state::fencing_mode mode_;
    state::fencing_number highest_;
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
    std::vector<travelling_order> orders;
    ordered_server server(mode);
    wall_time time{std::chrono::hours{1000}};
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (auto const s : steps)
    {
        time += std::chrono::milliseconds{s % 97 * 40};
        std::sort(
            orders.begin(), orders.end(),
            [](auto const& a, auto const& b) { return a.arrives < b.arrives; });
        while (!orders.empty() && orders.front().arrives <= time)
        {
            server.arrive(orders.front());
            orders.erase(orders.begin());
        }
        auto& h = holders[static_cast<std::size_t>(s) % holders.size()];
        auto const own_time = time + h.clock_error;
        if (s % 5 == 0)
        {
            // The write is conditional on the row as it was read, and its answer may be lost.
            auto const wanted = lease_to_write(row, h.id, own_time, settings);
            if (wanted)
                row = wanted;
            if (wanted && s % 10 != 0)
                h.lease = wanted;
        }
        else if (h.lease && may_send_order(*h.lease, h.id, mode, own_time, settings))
        {
            auto const longest =
                std::chrono::duration_cast<std::chrono::milliseconds>(settings.delivery_bound);
            auto const travel = std::chrono::milliseconds{s * 7 % (longest.count() + 1)};
            orders.push_back({time + travel, h.lease->fencing});
        }
    }
}

RC_GTEST_PROP(lease_property, checked_orders_never_conflict, ())
{
    check_orders(state::fencing_mode::checked);
}

RC_GTEST_PROP(lease_property, orders_to_a_server_that_ignores_numbers_never_conflict, ())
{
    check_orders(state::fencing_mode::ignored);
}

} // namespace
} // namespace auburnweir::coordination
