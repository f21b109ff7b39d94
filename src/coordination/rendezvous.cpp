#include "coordination/rendezvous.hpp"

#include <cmath>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

constexpr double hash_range = 0x1p64;

/// Covers the rounding of `exp` and `log`, whose relative error is far smaller.
constexpr double rounding_margin = 1e-9;

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node)
{
    return rendezvous_key(key).weight(node);
}

rendezvous_key::rendezvous_key(std::string_view key)
    : seed_(XXH3_64bits(key.data(), key.size()))
{
}

std::uint64_t rendezvous_key::weight(std::string_view node) const
{
    return XXH3_64bits_withSeed(node.data(), node.size(), seed_);
}

double weighted_score(std::uint64_t hash, double weight)
{
    // The half keeps the argument of the logarithm above 0.
    return std::log((static_cast<double>(hash) + 0.5) / hash_range) / weight;
}

std::uint64_t min_hash_for(double score)
{
    return static_cast<std::uint64_t>(std::exp(score) * (1 - rounding_margin) * hash_range);
}

} // namespace auburnweir::coordination
