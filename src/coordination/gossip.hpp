#ifndef AUBURNWEIR_COORDINATION_GOSSIP_HPP
#define AUBURNWEIR_COORDINATION_GOSSIP_HPP

#include "state/instance.hpp"

#include <random>
#include <vector>

namespace auburnweir::coordination
{

/// Instances that are reported of news when it is first heard. With each telling eight others once,
/// the share that stays untold is about e^-8.
constexpr std::size_t gossip_fanout = 8;

/// Random live instances other than `self`, at most `fanout`.
std::vector<state::instance> gossip_targets(
    state::instance_id const& self, std::vector<state::instance> const& live,
    std::mt19937_64& random, std::size_t fanout = gossip_fanout);

} // namespace auburnweir::coordination

#endif
