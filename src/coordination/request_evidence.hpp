#ifndef AUBURNWEIR_COORDINATION_REQUEST_EVIDENCE_HPP
#define AUBURNWEIR_COORDINATION_REQUEST_EVIDENCE_HPP

#include "state/forwarded_request.hpp"
#include "state/segment_evidence.hpp"

#include <string_view>

/// What relates requests that crash backend servers to each other.
namespace auburnweir::coordination
{

/// What other requests may share with a request: its segments but the last, and its fingerprint.
state::segment_hashes evidence_hashes(state::forwarded_request const& request);

/// Fingerprint of a request. Headers that differ between repeats have no part in it.
state::segment_hash fingerprint_of(
    std::string_view caller_key, std::string_view target, std::string_view body);

state::segment_hash hash_of_segment(std::string_view id);

state::server_process_hash hash_of_process(
    state::backend_id const& id, state::incarnation_number incarnation);

} // namespace auburnweir::coordination

#endif
