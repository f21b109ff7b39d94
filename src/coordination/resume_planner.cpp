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

bool ends_in_time(stream_progress const& stream, resume_costs const& costs)
{
    if (stream.backend_lost)
        return false;
    if (!stream.time_left)
        return true;
    if (stream.decode_tokens_per_second <= 0)
        return false;
    auto const rest =
        static_cast<double>(stream.max_remaining.count()) / stream.decode_tokens_per_second;
    return rest <= seconds(*stream.time_left) * costs.margin;
}

state::token_count to_recompute(stream_progress const& stream, resume_target const& target)
{
    return std::max(stream.prompt + stream.generated - target.expected_hit, state::token_count{0});
}

} // namespace

resume_plan plan_resume(
    stream_progress const& stream, resume_target const& target, resume_costs const& costs)
{
    if (ends_in_time(stream, costs))
        return continue_in_place{};

    auto const recomputed = to_recompute(stream, target);
    bool const can_export =
        !stream.backend_lost && stream.supports_export && target.supports_import;
    if (!can_export)
        return recompute_elsewhere{recomputed};

    auto const held = stream.prompt + stream.generated;
    state::byte_count const bytes{held.count() * costs.kv_bytes_per_token.count()};
    auto const bandwidth =
        target.other_region ? costs.cross_region_bytes_per_second : costs.transfer_bytes_per_second;
    auto const transfer_seconds = static_cast<double>(bytes.count()) / bandwidth;
    if (stream.time_left && transfer_seconds > seconds(*stream.time_left) * costs.margin)
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
