#ifndef AUBURNWEIR_STATE_INSTANCE_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_TABLE_HPP

#include "state/instance.hpp"
#include "state/lock_rank.hpp"

#include <map>
#include <optional>
#include <vector>

namespace auburnweir::state
{

/// What a new list of instances changed.
struct instance_changes
{
    std::vector<instance> appeared;
    std::vector<instance> gone;
    std::vector<instance> leaving; ///< newly so
};

/// The entry instances as last heard. Thread-safe; takes `lock_rank::peer_table`.
///
/// A leaving mark stays with an incarnation, whatever an older list says.
class instance_table
{
public:
    instance_changes apply(std::vector<instance> const& list);

    /// @return true when the mark is new
    bool mark_leaving(instance_id const& id);

    std::vector<instance> live() const;
    std::optional<instance> find(instance_id const& id) const;

private:
    mutable ranked_mutex mutex_{lock_rank::peer_table};
    std::map<instance_id, instance> instances_;
};

} // namespace auburnweir::state

#endif
