#ifndef AUBURNWEIR_STATE_CONFIGURATION_TABLE_HPP
#define AUBURNWEIR_STATE_CONFIGURATION_TABLE_HPP

#include "state/configuration.hpp"
#include "state/lock_rank.hpp"

namespace auburnweir::state
{

/// Version of the operators' text; 0 before any was accepted.
using configuration_version = quantity<struct configuration_version_unit, std::uint64_t>;

/// The configuration in force. Never goes back to a lower version.
///
/// Thread-safe; takes `lock_rank::configuration`.
class configuration_table
{
public:
    /// @return false when a version at least as high is in force
    bool apply(configuration_version version, configuration_ptr config)
    {
        ranked_lock lock(mutex_);
        if (config_ && version <= version_)
            return false;
        version_ = version;
        config_ = std::move(config);
        return true;
    }

    /// The configuration in force; null before the first.
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
