#ifndef AUBURNWEIR_COORDINATION_GOSSIP_HPP
#define AUBURNWEIR_COORDINATION_GOSSIP_HPP

#include "state/instance.hpp"

#include <random>
#include <vector>

namespace auburnweir::coordination
{

/// Instances to which an instance forwards a message when it first receives it. When each forwards
/// it to eight others once, the share of instances that it does not reach is about e^-8.
constexpr std::size_t gossip_fanout = 8;

/// Chooses at most `fanout` random live instances other than `self`.
std::vector<state::instance> gossip_targets(
    state::instance_id const& self, std::vector<state::instance> const& live,
    std::mt19937_64& random, std::size_t fanout = gossip_fanout);

} // namespace auburnweir::coordination

#endif
