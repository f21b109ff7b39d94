#ifndef AUBURNWEIR_STATE_INSTANCE_RANK_HPP
#define AUBURNWEIR_STATE_INSTANCE_RANK_HPP

#include <cstdint>

namespace auburnweir::state
{

/// Position of an instance among the sorted ids of all known instances.
struct instance_rank
{
    std::uint64_t rank = 0;  ///< from 0
    std::uint64_t count = 0; ///< known instances; 0: the rank is unknown

    friend bool operator==(instance_rank const&, instance_rank const&) = default;
};

} // namespace auburnweir::state

#endif
