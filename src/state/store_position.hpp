#ifndef AUBURNWEIR_STATE_STORE_POSITION_HPP
#define AUBURNWEIR_STATE_STORE_POSITION_HPP

#include "state/ids.hpp"

namespace auburnweir::state
{

/// A version of the store or of a row, with the era in which the store assigned it. Positions are
/// ordered; versions of different eras are not.
struct store_position
{
    store_era era;
    row_version version;

    friend auto operator<=>(store_position const&, store_position const&) = default;
};

} // namespace auburnweir::state

#endif
