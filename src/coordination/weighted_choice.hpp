#ifndef AUBURNWEIR_COORDINATION_WEIGHTED_CHOICE_HPP
#define AUBURNWEIR_COORDINATION_WEIGHTED_CHOICE_HPP

#include "coordination/server_choice.hpp"

#include <optional>
#include <random>
#include <vector>

namespace auburnweir::coordination
{

/// Shared tokens of a request from which it is long.
constexpr state::token_count min_long_request{2048};

/// Servers of a failure domain that one instance uses for the other requests.
constexpr std::size_t instance_subset_size = 5;

/// Kind of requests that a server gets where objectives compete.
enum class server_lane : std::uint8_t
{
    long_requests,
    other_requests
};

/// The lane of a server. All instances agree on it, as it depends on the server's id only.
server_lane lane_of(state::backend_id const& id);

/// Estimated number of requests at a server: from its own load reports and, where higher, from the
/// load that all instances have seen, which loses its weight linearly within 3 s, and the requests
/// that this instance has sent since.
double rated_load(state::server_view const& view, state::time_point now);

/// The chosen server, as an index of the given ones.
struct weighted_choice
{
    std::size_t index = 0;
    placement_kind kind;
};

/// Chooses a server by its speed and load.
///
/// Answers three patterns of load. Servers differ in speed by a multiple, and no instance sees each
/// of them often enough to tell by itself: requests go to a small subset of servers per instance,
/// and there to the least expected time. Long prompts share segments across failure domains: they
/// are placed over the whole deployment by their affinity, so that a segment is prefilled once.
/// Long prefills delay urgent short prompts: with `separate_lanes`, both use different servers.
///
/// Instances that read equal ratings do not choose the same server, as their subsets differ and
/// their own requests count at once.
/// @param servers  open servers of the request's service
/// @return null when every server was tried
std::optional<weighted_choice> choose_weighted(
    speed_weighted_placement const& policy, std::vector<state::server_view> const& servers,
    choice_request const& request, state::time_point now, std::mt19937_64& random);

} // namespace auburnweir::coordination

#endif
