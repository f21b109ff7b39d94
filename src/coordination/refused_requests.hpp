#ifndef AUBURNWEIR_COORDINATION_REFUSED_REQUESTS_HPP
#define AUBURNWEIR_COORDINATION_REFUSED_REQUESTS_HPP

#include "state/ids.hpp"

#include <cstdint>
#include <vector>

namespace auburnweir::coordination
{

/// Requests that a server has refused on one connection, by a hash of fixed size, as callers choose
/// the ids' length. Not thread-safe.
class refused_requests
{
public:
    /// A connection on which more requests were refused is closed.
    static constexpr std::size_t max_requests = 64;

    void add(state::request_id const& request);

    /// May be true for a request that was not added, as for one with the same hash.
    bool contains(state::request_id const& request) const;

    /// True when the connection must not be used again, as no more requests are remembered.
    bool is_full() const { return hashes_.size() >= max_requests; }

private:
    std::vector<std::uint64_t> hashes_; ///< at most `max_requests`
};

} // namespace auburnweir::coordination

#endif
