#ifndef AUBURNWEIR_TRANSPORT_TABLE_READER_HPP
#define AUBURNWEIR_TRANSPORT_TABLE_READER_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Rows that a read of a table returned.
struct table_reading
{
    row_listing listing;
    bool is_whole_table = false; ///< rows that it does not list do not exist
};

/// Follows a table of the store: reads all of it at first and whenever changes since the last read
/// can't be told, which is so after the store dropped its history or came back from an older copy.
class table_reader
{
public:
    table_reader(gateway_context& context, table_name table)
        : context_(context)
        , table_(std::move(table))
    {
    }

    /// Whether the next read returns the whole table, without waiting.
    bool reads_whole_table() const { return reads_whole_table_; }

    /// Reads what the last applied reading lacks; waits up to `wait` for the first change.
    net::awaitable<store_result<table_reading>> read(state::duration wait, state::duration timeout);

    /// Records that a reading was applied: the next read continues after it.
    void record_applied(table_reading const& reading);

private:
    net::awaitable<store_result<table_reading>> read_whole_table(state::duration timeout);

    gateway_context& context_;
    table_name table_;
    state::store_position position_; ///< up to which the table was applied
    bool reads_whole_table_ = true;
};

} // namespace auburnweir::transport

#endif
