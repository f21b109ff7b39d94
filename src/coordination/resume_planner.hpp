#ifndef AUBURNWEIR_COORDINATION_RESUME_PLANNER_HPP
#define AUBURNWEIR_COORDINATION_RESUME_PLANNER_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <variant>

namespace auburnweir::coordination
{

/// State of a stream whose backend server is leaving or lost.
struct stream_progress
{
    state::token_count prompt{0};
    state::token_count generated{0};          ///< tokens of the answer so far
    state::token_count max_remaining{0};      ///< tokens that may still be generated
    double decode_tokens_per_second = 0;      ///< of this stream, at its current backend server
    std::optional<state::duration> time_left; ///< until the backend server stops; null: no limit
    bool backend_lost = false;                ///< it can generate or export nothing more
    bool supports_export = false;             ///< the backend server can export the KV cache
};

/// The backend server that would continue the stream.
struct resume_target
{
    state::token_count expected_hit{0}; ///< tokens of the prefix already in its cache
    double prefill_tokens_per_second = 0;
    bool other_region = false;
    bool supports_import = false;
};

/// Costs and rates of data transfer and of computation.
struct resume_costs
{
    state::byte_count kv_bytes_per_token{160LL * 1024};
    double transfer_bytes_per_second = 1.0e9;
    double cross_region_bytes_per_second = 1.0e8;
    double cross_region_price_per_byte = 2.0e-8; ///< in millionths of the currency
    double compute_price_per_second = 300;       ///< in millionths of the currency
    double usable_time_share = 0.8;              ///< of the time left, at most used by a plan
};

/// Leave the stream at its backend server, where it ends in time.
struct continue_in_place
{
};

/// Export the KV cache and import it at the target.
struct transfer_kv_cache
{
    state::byte_count bytes;
};

/// Send the prompt and the generated tokens to the target, which computes their KV cache again.
struct recompute_elsewhere
{
    state::token_count recomputed;
};

using resume_plan = std::variant<continue_in_place, transfer_kv_cache, recompute_elsewhere>;

/// Chooses the cheapest way to finish a stream whose backend server is leaving or lost.
resume_plan plan_resume(
    stream_progress const& stream, resume_target const& target, resume_costs const& costs);

} // namespace auburnweir::coordination

#endif
