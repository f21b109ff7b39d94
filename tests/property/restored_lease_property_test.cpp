#include "coordination/lease_claim.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

/// Holders claim a lease in a store that comes back from older copies of itself, while responses
/// are lost. No order takes effect after one of a later holder, and no number names two holders.

namespace auburnweir::coordination
{
namespace
{

using state::wall_time;

struct holder
{
    state::instance_id id;
    std::optional<state::lease_record> lease;
    std::optional<state::lease_record> last_held;
    state::store_era era;
    wall_time era_seen_at{};
};

struct stored_lease
{
    std::optional<state::lease_record> row;
    state::row_version version; ///< of the store
};

struct delayed_order
{
    wall_time arrives_at;
    state::fencing_number fencing;
    state::instance_id holder;
};

RC_GTEST_PROP(restored_lease_property, orders_of_holders_never_conflict_after_restores, ())
{
    lease_settings const settings;
    auto const delivery =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.delivery_bound);
    std::vector<holder> holders;
    for (int i = 0; i < 3; ++i)
        holders.push_back({state::instance_id{std::to_string(i)}, {}, {}, {}, {}});
    stored_lease store;
    std::vector<stored_lease> copies{store};
    state::store_era era{1};
    std::vector<delayed_order> orders;
    std::map<state::fencing_number, state::instance_id> holder_of;
    state::fencing_number highest;
    wall_time time{std::chrono::hours{1000}};
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
    for (auto const s : steps)
    {
        time += std::chrono::milliseconds{s % 97 * 40};
        std::ranges::sort(orders, {}, &delayed_order::arrives_at);
        while (!orders.empty() && orders.front().arrives_at <= time)
        {
            auto const order = orders.front();
            orders.erase(orders.begin());
            RC_ASSERT(order.fencing >= highest);
            highest = order.fencing;
            RC_ASSERT(
                holder_of.try_emplace(order.fencing, order.holder).first->second == order.holder);
        }
        store.version += state::row_version{1};
        auto& h = holders[static_cast<std::size_t>(s) % holders.size()];
        if (s % 23 == 0)
        {
            store = copies[static_cast<std::size_t>(s) % copies.size()];
            era += state::store_era{1};
            continue;
        }
        if (s % 5 != 0)
        {
            bool const may_send =
                h.lease && era_of(h.lease->fencing) == h.era &&
                may_send_order(*h.lease, h.id, state::fencing_mode::ignored, time, settings);
            if (may_send)
                orders.push_back(
                    {time + std::chrono::milliseconds{s * 7 % (delivery.count() + 1)},
                     h.lease->fencing, h.id});
            continue;
        }
        if (h.era != era)
        {
            h.era = era;
            h.era_seen_at = time;
            h.last_held = h.lease ? h.lease : h.last_held;
            h.lease.reset();
        }
        lease_reading reading{store.row, {era, store.version}, time - h.era_seen_at, h.last_held};
        auto const claim = claim_lease(reading, h.id, time, settings);
        std::optional<state::lease_record> claimed;
        if (auto const* of_row = std::get_if<claim_of_row>(&claim))
            claimed = of_row->lease;
        else if (auto const* of_last = std::get_if<claim_of_last_holder>(&claim))
            claimed = of_last->lease;
        else if (auto const* of_copy = std::get_if<claim_of_copy>(&claim))
            claimed = of_copy->lease;
        if (!claimed)
            continue;
        copies.push_back(store);
        store.row = claimed;
        store.version += state::row_version{1};
        if (s % 10 != 0)
            h.lease = claimed;
    }
}

} // namespace
} // namespace auburnweir::coordination
