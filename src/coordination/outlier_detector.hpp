#ifndef AUBURNWEIR_COORDINATION_OUTLIER_DETECTOR_HPP
#define AUBURNWEIR_COORDINATION_OUTLIER_DETECTOR_HPP

#include "state/backend_table.hpp"
#include "state/time.hpp"

#include <optional>

namespace auburnweir::coordination
{

/// Limits of outlier ejection.
struct outlier_settings
{
    int consecutive_failures_to_eject = 5;
    state::duration base_ejection = std::chrono::seconds{2}; ///< doubles with each ejection
    state::duration max_ejection = std::chrono::seconds{60};
    double max_ejected_share = 0.5; ///< of a service's backend servers
};

/// Decides whether a failing backend server is ejected.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_settings settings)
        : settings_(settings)
    {
    }

    /// @param view           the backend server after the failure was recorded
    /// @param ejected_share  share of the service's backend servers that are ejected already
    /// @return the end of the ejection, or null when the backend server is not ejected
    std::optional<state::time_point> decide_ejection(
        state::backend_view const& view, double ejected_share, state::time_point now) const;

private:
    outlier_settings settings_;
};

} // namespace auburnweir::coordination

#endif
