#ifndef AUBURNWEIR_COORDINATION_RENDEZVOUS_HPP
#define AUBURNWEIR_COORDINATION_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace auburnweir::coordination
{

/// Weight of `node` for `key` under rendezvous (highest random weight) hashing.
///
/// All instances compute the same weights, so they agree on an order without messages.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace auburnweir::coordination

#endif
