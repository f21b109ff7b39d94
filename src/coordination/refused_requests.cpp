#include "coordination/refused_requests.hpp"

#include <algorithm>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

std::uint64_t hash_of(state::request_id const& request)
{
    return XXH3_64bits(request.str().data(), request.str().size());
}

} // namespace

void refused_requests::add(state::request_id const& request)
{
    if (!is_full())
        hashes_.push_back(hash_of(request));
}

bool refused_requests::contains(state::request_id const& request) const
{
    return std::ranges::find(hashes_, hash_of(request)) != hashes_.end();
}

} // namespace auburnweir::coordination
