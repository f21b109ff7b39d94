#include "coordination/rating_summary.hpp"

#include "coordination/server_rating_table.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::coordination
{

rating_summary summarise_ratings(
    std::vector<state::server_view> const& servers, state::time_point now)
{
    std::map<state::service_id, std::vector<state::duration>> intervals;
    rating_summary summary;
    for (auto const& server : servers)
    {
        bool const is_known = server.rating &&
                              server.rating->event_interval > state::duration::zero() &&
                              now - server.rated_at <= server_rating_table::max_age;
        if (!is_known)
            continue;
        ++summary.rated_servers;
        intervals[server.listed.service].push_back(server.rating->event_interval);
    }
    for (auto& [service, known] : intervals)
    {
        std::ranges::sort(known);
        auto const reference = known[(known.size() - 1) / 4];
        auto const slowest =
            static_cast<double>(known.back().count()) / static_cast<double>(reference.count());
        summary.slowest_to_reference = std::max(summary.slowest_to_reference, slowest);
    }
    return summary;
}

} // namespace auburnweir::coordination
