#include "coordination/journal_placement.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::coordination
{

namespace
{

void sort_by_weight(state::request_id const& request, std::vector<state::instance>& all)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(all.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        order.emplace_back(rendezvous_weight(request.str(), all[i].id.str()), i);
    std::sort(order.rbegin(), order.rend());
    std::vector<state::instance> sorted;
    sorted.reserve(all.size());
    for (auto const& [weight, index] : order)
        sorted.push_back(std::move(all[index]));
    all = std::move(sorted);
}

} // namespace

std::vector<state::instance> replica_order(
    state::request_id const& request, state::instance const& owner,
    std::vector<state::instance> const& live)
{
    std::vector<state::instance> candidates;
    for (auto const& i : live)
        if (i.id != owner.id && i.failure_domain != owner.failure_domain && !i.leaving)
            candidates.push_back(i);
    sort_by_weight(request, candidates);
    std::stable_partition(
        candidates.begin(), candidates.end(),
        [&](state::instance const& i) { return i.region == owner.region; });
    return candidates;
}

std::vector<state::instance> lookup_order(
    state::request_id const& request, std::vector<state::instance> const& live,
    std::size_t per_domain)
{
    auto sorted = live;
    sort_by_weight(request, sorted);
    std::map<state::failure_domain_id, std::size_t> domain_counts;
    std::vector<state::instance> first_of_domains;
    std::vector<state::instance> further;
    for (auto const& i : sorted)
    {
        auto const rank = domain_counts[i.failure_domain]++;
        if (rank == 0)
            first_of_domains.push_back(i);
        else if (rank < per_domain)
            further.push_back(i);
    }
    first_of_domains.insert(first_of_domains.end(), further.begin(), further.end());
    return first_of_domains;
}

} // namespace auburnweir::coordination
