#ifndef AUBURNWEIR_TRANSPORT_QUARANTINE_STORE_HPP
#define AUBURNWEIR_TRANSPORT_QUARANTINE_STORE_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Keeps the verdicts on segments, and the crashes that may lead to others, in a row of the store,
/// so that they outlast all instances.
///
/// The holder of the duties writes the row when they have changed; instances read it
/// together with the row of the lease.
class quarantine_store
{
public:
    explicit quarantine_store(gateway_context& context)
        : context_(context)
    {
    }

    /// Key of the row in the table of the duties.
    static constexpr char const* key = "quarantine";

    /// So that the row, also as base64, stays below the size that the store allows.
    static constexpr std::size_t max_segments = 512;
    static constexpr std::size_t max_crashes = 256;

    /// Takes over a row that was read.
    void apply(stored_row const& row);

    /// Writes the row, if it differs from what this holder has written.
    net::awaitable<void> save_changes(table_name table);

    /// Makes the next save write the row: it is that of another holder or of a copy.
    void invalidate() { saved_.reset(); }

private:
    gateway_context& context_;
    std::optional<coordination::snapshot_version> saved_; ///< what was written
    state::time_point next_save_at_{};                    ///< later than now after a failed write
};

} // namespace auburnweir::transport

#endif
