#ifndef AUBURNWEIR_STATE_CONFIGURATION_TABLE_HPP
#define AUBURNWEIR_STATE_CONFIGURATION_TABLE_HPP

#include "state/configuration.hpp"
#include "state/lock_rank.hpp"

namespace auburnweir::state
{

/// Version of the operators' configuration; 0 before the first one is accepted.
using configuration_version = quantity<struct configuration_version_unit, std::uint64_t>;

/// The active configuration. Its version never decreases.
///
/// Thread-safe; takes `lock_rank::configuration`.
class configuration_table
{
public:
    /// Activates a configuration.
    /// @return false when the active version is at least as high
    bool apply(configuration_version version, configuration_ptr config)
    {
        ranked_lock lock(mutex_);
        if (config_ && version <= version_)
            return false;
        version_ = version;
        config_ = std::move(config);
        return true;
    }

    /// The active configuration; null before the first one.
    configuration_ptr current() const
    {
        ranked_lock lock(mutex_);
        return config_;
    }

    configuration_version version() const
    {
        ranked_lock lock(mutex_);
        return version_;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::configuration};
    configuration_version version_;
    configuration_ptr config_;
};

} // namespace auburnweir::state

#endif
