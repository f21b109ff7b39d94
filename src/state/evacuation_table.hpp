#ifndef AUBURNWEIR_STATE_EVACUATION_TABLE_HPP
#define AUBURNWEIR_STATE_EVACUATION_TABLE_HPP

#include "state/evacuation.hpp"
#include "state/lock_rank.hpp"
#include "state/server_table.hpp"
#include "state/time.hpp"

#include <optional>
#include <set>
#include <vector>

namespace auburnweir::state
{

/// Evacuations in a reading of the operator rows.
struct evacuation_listing
{
    store_position position; ///< the reading includes all rows up to here
    bool is_whole = false;   ///< a domain that is not listed has no row
    std::set<failure_domain_id> listed;
    std::set<failure_domain_id> removed; ///< domains whose row was removed; of a partial listing
    time_point requested_at{};
};

/// Evacuations that a listing has begun and ended.
struct evacuation_change
{
    std::vector<failure_domain_id> began;
    std::vector<failure_domain_id> ended;
};

/// Evacuated failure domains, from this instance's readings of the operator rows and from the
/// holder's report responses. The source that is complete to the newer position takes precedence.
///
/// A store that came back from an older copy may have lost a row. A domain that was evacuated and
/// is merely absent from the listings of a new era stays evacuated until the copy is no longer in
/// doubt.
/// Thread-safe; takes `lock_rank::evacuations` and, while holding it, `lock_rank::backend_table`:
/// the server table gets the sets in the order in which they came into force.
class evacuation_table
{
public:
    explicit evacuation_table(server_table& servers)
        : servers_(servers)
    {
    }

    /// Applies a reading of this instance. A whole listing must come before the first partial one
    /// of an era.
    evacuation_change apply(evacuation_listing const& listing);

    /// Applies what the holder of the duties responded.
    evacuation_change apply(evacuations const& held, time_point now);

    /// The evacuations in force; null before the first reading or response.
    std::optional<evacuations> current() const;

private:
    using domain_set = std::set<failure_domain_id>;

    /// The domains of the source that is complete to the newer position.
    evacuations const& newer_source() const;
    domain_set in_force() const;
    void observe_era(store_era era, time_point at);
    bool is_in_doubt(time_point at) const;
    evacuation_change publish(domain_set const& before, time_point now);

    server_table& servers_;
    mutable ranked_mutex mutex_{lock_rank::evacuations};
    std::optional<evacuations> read_;         ///< by this instance
    std::optional<evacuations> held_;         ///< by the holder, as it last responded
    domain_set kept_;                         ///< evacuated before, absent from a listing in doubt
    store_era era_;                           ///< newest of all listings
    std::optional<time_point> doubted_since_; ///< when the era was first seen; null: not a copy
};

} // namespace auburnweir::state

#endif
