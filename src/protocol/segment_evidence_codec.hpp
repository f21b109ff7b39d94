#ifndef AUBURNWEIR_PROTOCOL_SEGMENT_EVIDENCE_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_SEGMENT_EVIDENCE_CODEC_HPP

#include "state/segment_evidence.hpp"

#include <nlohmann/json.hpp>

namespace auburnweir::protocol
{

nlohmann::json encode_observations(state::segment_observations const& observations);

/// @throws malformed_message  also when a list is longer than any instance sends
state::segment_observations read_observations(nlohmann::json const& from);

nlohmann::json encode_verdicts(state::segment_verdicts const& verdicts);

/// @throws malformed_message  also when a list is longer than any instance sends
state::segment_verdicts read_verdicts(nlohmann::json const& from);

} // namespace auburnweir::protocol

#endif
