#ifndef AUBURNWEIR_STATE_STRONG_ID_HPP
#define AUBURNWEIR_STATE_STRONG_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace auburnweir::state
{

/// Text identifier that does not convert to identifiers of other kinds.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;

    explicit strong_id(std::string value)
        : value_(std::move(value))
    {
    }

    /// The identifier's text; empty when unset.
    std::string const& str() const { return value_; }

    bool empty() const { return value_.empty(); }

    friend auto operator<=>(strong_id const&, strong_id const&) = default;

private:
    std::string value_;
};

} // namespace auburnweir::state

template <class Tag>
struct std::hash<auburnweir::state::strong_id<Tag>>
{
    std::size_t operator()(auburnweir::state::strong_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

#endif
