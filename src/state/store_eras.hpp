#ifndef AUBURNWEIR_STATE_STORE_ERAS_HPP
#define AUBURNWEIR_STATE_STORE_ERAS_HPP

#include "state/lock_rank.hpp"
#include "state/store_position.hpp"
#include "state/time.hpp"

#include <optional>

namespace auburnweir::state
{

/// The era of a store that has never come back from an older copy.
inline constexpr store_era first_store_era{1};

/// The store's current era, as this instance knows it.
///
/// A new era means that the store came back from an older copy: its rows may be older than what it
/// has acknowledged, until their writers have written them again. Thread-safe; takes
/// `lock_rank::store_eras`.
class store_eras
{
public:
    /// What a response of the store says of its era.
    enum class observation : std::uint8_t
    {
        current,
        began,   ///< the first response of a new era
        outdated ///< from an earlier era than the current one
    };

    /// Records the position that a response names.
    observation observe(store_position position, time_point received_at);

    store_era current() const;

    /// When this instance first saw a response of the current era; null before the first response.
    std::optional<time_point> first_seen_at() const;

    /// When this instance saw the current era begin; null when it began before the process.
    std::optional<time_point> began_at() const;

    /// Whether a row of the current era may be as old as the copy that the store came back from.
    bool may_be_copied(row_version row) const;

private:
    mutable ranked_mutex mutex_{lock_rank::store_eras};
    std::optional<store_era> current_;
    std::optional<time_point> first_seen_at_;
    std::optional<time_point> began_at_;
    row_version first_version_; ///< of the first response of the era; later rows are written in it
};

} // namespace auburnweir::state

#endif
