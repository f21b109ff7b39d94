#ifndef AUBURNWEIR_STATE_FORWARDED_REQUEST_HPP
#define AUBURNWEIR_STATE_FORWARDED_REQUEST_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::state
{

/// A part of a prompt that several requests may share.
struct prompt_segment
{
    std::string id;
    token_count tokens{0};
};

/// What the header of a request to be forwarded says, without its encoding.
struct forwarded_request
{
    request_id id;
    std::string key;                 ///< of the caller's organisation; empty when there is none
    std::optional<duration> timeout; ///< how long the caller waits, from the request's arrival
    bool has_token_counts = false;   ///< the header names the token counts
    token_count prompt{0};           ///< of the whole prompt
    token_count max_output{0};
    std::vector<prompt_segment> segments; ///< of the prompt, in order; the last is its own
    std::string resume_after; ///< last event that the caller has; empty at the beginning
};

} // namespace auburnweir::state

#endif
