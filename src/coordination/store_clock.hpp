#ifndef AUBURNWEIR_COORDINATION_STORE_CLOCK_HPP
#define AUBURNWEIR_COORDINATION_STORE_CLOCK_HPP

#include "state/time.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// What the store's steady clock says, between answers that carry it.
///
/// An answer's reading was taken between the question and the answer, which gives two bounds.
class store_clock
{
public:
    /// An answer that arrived at `received` to a question of `asked` said `reading`.
    void observe(store_time reading, state::time_point asked, state::time_point received);

    bool has_reading() const { return known_; }

    /// Not later than the store's clock at `now`.
    store_time earliest(state::time_point now) const;

    /// Not earlier than the store's clock at `now`.
    store_time latest(state::time_point now) const;

private:
    bool known_ = false;
    store_time reading_{0};
    state::time_point asked_{};
    state::time_point received_{};
};

/// The middle of the instances' opinions on true time less the store's clock; wall clocks of a
/// minority that jump do not move it. Null without any opinion.
std::optional<std::chrono::milliseconds> agreed_offset(
    std::vector<std::chrono::milliseconds> opinions);

} // namespace auburnweir::coordination

#endif
