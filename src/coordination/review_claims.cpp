#include "coordination/review_claims.hpp"

#include "state/overloaded.hpp"

namespace auburnweir::coordination
{

namespace
{

state::wall_time add(state::wall_time time, state::duration added)
{
    return time + std::chrono::duration_cast<std::chrono::milliseconds>(added);
}

bool may_start(
    state::review_record const& review, double load, state::wall_time now,
    review_settings const& settings)
{
    return load < settings.low_load_threshold || now >= add(review.accepted_at, settings.max_delay);
}

bool is_held_by(
    state::review_record const& review, state::instance_id const& self,
    state::fencing_number fencing)
{
    auto const* claim = std::get_if<state::review_claimed>(&review.state);
    return claim && claim->holder == self && review.fencing == fencing;
}

} // namespace

std::optional<state::review_record> next_claim(
    state::review_record const& current, state::instance_id const& self, double load,
    state::wall_time now, review_settings const& settings)
{
    bool const claimable = std::visit(
        state::overloaded{
            [&](state::review_waiting const&) { return may_start(current, load, now, settings); },
            [&](state::review_claimed const& c)
            { return now > add(c.until, settings.clock_bound); },
            [](state::review_done const&) { return false; }},
        current.state);
    if (!claimable)
        return std::nullopt;
    auto claim = current;
    claim.fencing += state::fencing_number{1};
    claim.state = state::review_claimed{self, add(now, settings.lease)};
    return claim;
}

std::optional<state::review_record> renewed_claim(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, state::wall_time now, review_settings const& settings)
{
    if (!is_held_by(current, self, fencing))
        return std::nullopt;
    auto renewed = current;
    renewed.state = state::review_claimed{self, add(now, settings.lease)};
    return renewed;
}

std::optional<state::review_record> finished_review(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, std::string answer_object)
{
    if (!is_held_by(current, self, fencing))
        return std::nullopt;
    auto done = current;
    done.state = state::review_done{std::move(answer_object)};
    return done;
}

} // namespace auburnweir::coordination
