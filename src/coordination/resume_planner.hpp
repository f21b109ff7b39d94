#ifndef AUBURNWEIR_COORDINATION_RESUME_PLANNER_HPP
#define AUBURNWEIR_COORDINATION_RESUME_PLANNER_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <variant>

namespace auburnweir::coordination
{

/// A stream on a backend server that leaves or is lost.
struct stream_progress
{
    state::token_count prompt{0};
    state::token_count generated{0};          ///< tokens answered so far
    state::token_count max_remaining{0};      ///< most tokens still to come
    double decode_tokens_per_second = 0;      ///< of this stream, at its present backend server
    std::optional<state::duration> time_left; ///< until the backend server is taken; null: no limit
    bool backend_lost = false;                ///< nothing more can be had from it
    bool supports_export = false;             ///< it can export the stream's KV cache
};

/// The backend server that would take over.
struct resume_target
{
    state::token_count expected_hit{0}; ///< prefix already in its cache
    double prefill_tokens_per_second = 0;
    bool other_region = false;
    bool supports_import = false;
};

/// What moving data and computing costs.
struct resume_costs
{
    state::byte_count kv_bytes_per_token{160LL * 1024};
    double transfer_bytes_per_second = 1.0e9;
    double cross_region_bytes_per_second = 1.0e8;
    double cross_region_price_per_byte = 2.0e-8; ///< in millionths of the currency
    double compute_price_per_second = 300;       ///< in millionths of the currency
    double margin = 0.8;                         ///< part of the time left that a plan may use
};

/// Leave the stream where it is; it ends before the backend server does.
struct continue_in_place
{
};

/// Export the KV cache and import it elsewhere.
struct transfer_kv_cache
{
    state::byte_count bytes;
};

/// Send the prompt and the tokens so far to another backend server, which computes them again.
struct recompute_elsewhere
{
    state::token_count recomputed;
};

using resume_plan = std::variant<continue_in_place, transfer_kv_cache, recompute_elsewhere>;

/// Chooses the cheapest way to finish a stream whose backend server goes away.
resume_plan plan_resume(
    stream_progress const& stream, resume_target const& target, resume_costs const& costs);

} // namespace auburnweir::coordination

#endif
