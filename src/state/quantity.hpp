#ifndef AUBURNWEIR_STATE_QUANTITY_HPP
#define AUBURNWEIR_STATE_QUANTITY_HPP

#include <compare>

namespace auburnweir::state
{

/// Number with a unit; quantities of different units do not convert to each other.
template <class Unit, class Rep>
class quantity
{
public:
    using rep = Rep;

    constexpr quantity() = default;

    constexpr explicit quantity(Rep count)
        : count_(count)
    {
    }

    /// The number without its type, in `Unit`.
    constexpr Rep count() const { return count_; }

    constexpr quantity& operator+=(quantity other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr quantity& operator-=(quantity other)
    {
        count_ -= other.count_;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b) { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) { return a -= b; }
    friend constexpr auto operator<=>(quantity const&, quantity const&) = default;

private:
    Rep count_{};
};

} // namespace auburnweir::state

#endif
