#ifndef AUBURNWEIR_STATE_FORWARDED_REQUEST_HPP
#define AUBURNWEIR_STATE_FORWARDED_REQUEST_HPP

#include "state/ids.hpp"
#include "state/segment_evidence.hpp"
#include "state/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::state
{

/// Segment of a prompt that several requests may share.
struct prompt_segment
{
    std::string id;
    token_count tokens{0};
};

/// Decoded header of a request to be forwarded.
struct forwarded_request
{
    request_id id;
    std::string key; ///< key of the caller's organisation; empty when absent
    /// How long the caller waits, counted from the request's arrival.
    std::optional<duration> timeout;
    bool has_token_counts = false; ///< the header states `prompt` and `max_output`
    token_count prompt{0};         ///< of the whole prompt
    token_count max_output{0};
    /// Segments of the prompt, in order; the last one belongs to this request only.
    std::vector<prompt_segment> segments;
    /// Equal for repeats of one request: a hash of its caller, path and body.
    segment_hash fingerprint{0};
    /// Id of the last event that the caller received; empty for a new stream.
    std::string resume_after;
};

} // namespace auburnweir::state

#endif
