#include "coordination/outlier_detector.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{
constexpr int max_doublings = 10;
}

std::optional<state::time_point> outlier_detector::decide_ejection(
    state::backend_view const& view, double ejected_share, state::time_point now) const
{
    if (view.consecutive_failures < settings_.consecutive_failures_to_eject)
        return std::nullopt;
    if (ejected_share >= settings_.max_ejected_share)
        return std::nullopt;
    auto const doublings = std::min(view.ejections, max_doublings);
    auto const length = settings_.base_ejection * (1 << doublings);
    return now + std::min<state::duration>(length, settings_.max_ejection);
}

} // namespace auburnweir::coordination
