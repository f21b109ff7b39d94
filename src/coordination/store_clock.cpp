#include "coordination/store_clock.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

store_time elapsed(state::time_point since, state::time_point now)
{
    return std::chrono::duration_cast<store_time>(now - since);
}

} // namespace

void store_clock::observe(store_time reading, state::time_point asked, state::time_point received)
{
    bool const tighter = !known_ || received - asked <= received_ - asked_ ||
                         asked - asked_ > std::chrono::seconds{10};
    if (!tighter)
        return;
    known_ = true;
    reading_ = reading;
    asked_ = asked;
    received_ = received;
}

store_time store_clock::earliest(state::time_point now) const
{
    return reading_ + elapsed(received_, now);
}

store_time store_clock::latest(state::time_point now) const
{
    return reading_ + elapsed(asked_, now);
}

std::optional<std::chrono::milliseconds> agreed_offset(
    std::vector<std::chrono::milliseconds> opinions)
{
    if (opinions.empty())
        return std::nullopt;
    auto const middle = opinions.begin() + static_cast<std::ptrdiff_t>(opinions.size() / 2);
    std::nth_element(opinions.begin(), middle, opinions.end());
    return *middle;
}

} // namespace auburnweir::coordination
