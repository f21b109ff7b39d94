#include "coordination/store_clock.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// An older reading is replaced even by one with wider bounds.
constexpr state::duration max_reading_age = std::chrono::seconds{10};

store_time elapsed(state::time_point since, state::time_point now)
{
    return std::chrono::duration_cast<store_time>(now - since);
}

} // namespace

void store_clock::observe(
    store_time reading, state::time_point sent_at, state::time_point received_at)
{
    bool const use_reading = !has_reading_ || received_at - sent_at <= received_at_ - sent_at_ ||
                             sent_at - sent_at_ > max_reading_age;
    if (!use_reading)
        return;
    has_reading_ = true;
    reading_ = reading;
    sent_at_ = sent_at;
    received_at_ = received_at;
}

store_time store_clock::earliest(state::time_point now) const
{
    return reading_ + elapsed(received_at_, now);
}

store_time store_clock::latest(state::time_point now) const
{
    return reading_ + elapsed(sent_at_, now);
}

std::optional<std::chrono::milliseconds> agreed_offset(
    std::vector<std::chrono::milliseconds> offsets)
{
    if (offsets.empty())
        return std::nullopt;
    auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace auburnweir::coordination
