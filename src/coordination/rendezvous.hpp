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

/// A key whose weights for many nodes are computed.
class rendezvous_key
{
public:
    explicit rendezvous_key(std::string_view key);

    /// The same as `rendezvous_weight`.
    std::uint64_t weight(std::string_view node) const;

private:
    std::uint64_t seed_;
};

/// Position of a node in the order of weighted rendezvous hashing; the highest comes first. A node
/// is first with a probability proportional to its weight.
/// @param hash    its weight under rendezvous hashing
/// @param weight  above 0
double weighted_score(std::uint64_t hash, double weight);

/// Upper bound of `hash` below which `weighted_score` is less than `score` for weights up to 1.
/// Comparing with it is cheaper than computing the score.
std::uint64_t min_hash_for(double score);

} // namespace auburnweir::coordination

#endif
