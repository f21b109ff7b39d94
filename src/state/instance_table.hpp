#ifndef AUBURNWEIR_STATE_INSTANCE_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_TABLE_HPP

#include "state/instance.hpp"
#include "state/lock_rank.hpp"

#include <map>
#include <optional>
#include <vector>

namespace auburnweir::state
{

/// Changes that a new list of instances made.
struct instance_changes
{
    std::vector<instance> appeared;
    std::vector<instance> gone;
    std::vector<instance> leaving; ///< newly marked, at their appearance too
};

/// The entry instances of the latest list.
///
/// A leaving mark stays with an incarnation, also when an outdated list lacks it.
/// Thread-safe; takes `lock_rank::peer_table`.
class instance_table
{
public:
    /// Replaces the table by `list`; keeps an instance of which `list` has an earlier incarnation.
    instance_changes apply(std::vector<instance> const& list);

    /// @return true when the instance is known and was not marked before
    bool mark_leaving(instance_id const& id);

    std::vector<instance> live() const;
    std::optional<instance> find(instance_id const& id) const;

private:
    mutable ranked_mutex mutex_{lock_rank::peer_table};
    std::map<instance_id, instance> instances_;
};

} // namespace auburnweir::state

#endif
