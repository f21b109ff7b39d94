#include "coordination/resume_planner.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

constexpr double default_prefill_tokens_per_second = 8000;

double seconds(state::duration d)
{
    return std::chrono::duration<double>(d).count();
}

bool finishes_in_time(stream_progress const& stream, resume_costs const& costs)
{
    if (stream.backend_lost)
        return false;
    if (!stream.time_left)
        return true;
    if (stream.decode_tokens_per_second <= 0)
        return false;
    auto const seconds_needed =
        static_cast<double>(stream.max_remaining.count()) / stream.decode_tokens_per_second;
    return seconds_needed <= seconds(*stream.time_left) * costs.usable_time_share;
}

state::token_count tokens_to_recompute(stream_progress const& stream, resume_target const& target)
{
    return std::max(stream.prompt + stream.generated - target.expected_hit, state::token_count{0});
}

} // namespace

resume_plan plan_resume(
    stream_progress const& stream, resume_target const& target, resume_costs const& costs)
{
    if (finishes_in_time(stream, costs))
        return continue_in_place{};

    auto const recomputed = tokens_to_recompute(stream, target);
    bool const can_transfer =
        !stream.backend_lost && stream.supports_export && target.supports_import;
    if (!can_transfer)
        return recompute_elsewhere{recomputed};

    auto const context_tokens = stream.prompt + stream.generated;
    state::byte_count const bytes{context_tokens.count() * costs.kv_bytes_per_token.count()};
    auto const bandwidth =
        target.other_region ? costs.cross_region_bytes_per_second : costs.transfer_bytes_per_second;
    auto const transfer_seconds = static_cast<double>(bytes.count()) / bandwidth;
    if (stream.time_left && transfer_seconds > seconds(*stream.time_left) * costs.usable_time_share)
        return recompute_elsewhere{recomputed};

    auto const prefill = target.prefill_tokens_per_second > 0 ? target.prefill_tokens_per_second
                                                              : default_prefill_tokens_per_second;
    auto const replay_price =
        static_cast<double>(recomputed.count()) / prefill * costs.compute_price_per_second;
    auto const volume_price =
        target.other_region ? static_cast<double>(bytes.count()) * costs.cross_region_price_per_byte
                            : 0.0;
    auto const export_price = transfer_seconds * costs.compute_price_per_second + volume_price;
    if (export_price < replay_price)
        return transfer_kv_cache{bytes};
    return recompute_elsewhere{recomputed};
}

} // namespace auburnweir::coordination
