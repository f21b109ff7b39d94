#include "coordination/backend_subset.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::coordination
{

namespace
{

struct ranked_backend
{
    std::size_t rank_in_domain;
    std::uint64_t weight;
    std::size_t index;
};

using weighted_index = std::pair<std::uint64_t, std::size_t>;

} // namespace

std::vector<state::backend_view> backend_subset(
    state::instance_id const& self, std::vector<state::backend_view> candidates, std::size_t size)
{
    if (candidates.size() <= size)
        return candidates;
    std::map<state::failure_domain_id, std::vector<weighted_index>> domains;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        domains[candidates[i].failure_domain].emplace_back(
            rendezvous_weight(self.str(), candidates[i].id.str()), i);

    std::vector<ranked_backend> order;
    for (auto& [domain, members] : domains)
    {
        std::sort(members.rbegin(), members.rend());
        for (std::size_t rank = 0; rank < members.size(); ++rank)
            order.push_back({rank, members[rank].first, members[rank].second});
    }
    std::sort(
        order.begin(), order.end(),
        [](ranked_backend const& a, ranked_backend const& b)
        {
            return a.rank_in_domain != b.rank_in_domain ? a.rank_in_domain < b.rank_in_domain
                                                        : a.weight > b.weight;
        });

    std::vector<state::backend_view> selected;
    selected.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        selected.push_back(std::move(candidates[order[i].index]));
    return selected;
}

} // namespace auburnweir::coordination
