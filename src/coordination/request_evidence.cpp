#include "coordination/request_evidence.hpp"

#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

using state::segment_hash;
using state::server_process_hash;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

state::segment_hashes evidence_hashes(state::forwarded_request const& request)
{
    state::segment_hashes hashes;
    hashes.reserve(request.segments.size() + 1);
    for (std::size_t i = 0; i + 1 < request.segments.size(); ++i)
        hashes.push_back(hash_of_segment(request.segments[i].id));
    if (request.fingerprint != segment_hash{0})
        hashes.push_back(request.fingerprint);
    return hashes;
}

segment_hash fingerprint_of(
    std::string_view caller_key, std::string_view target, std::string_view body)
{
    return segment_hash{hash_of(body, hash_of(target, hash_of(caller_key)))};
}

segment_hash hash_of_segment(std::string_view id)
{
    return segment_hash{hash_of(id)};
}

server_process_hash hash_of_process(
    state::backend_id const& id, state::incarnation_number incarnation)
{
    // A number as the seed is not enough: the hashes of short texts with other seeds collide.
    return server_process_hash{hash_of(id.str() + ' ' + std::to_string(incarnation.count()))};
}

} // namespace auburnweir::coordination
