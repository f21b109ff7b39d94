#ifndef AUBURNWEIR_STATE_LEDGER_RECORD_HPP
#define AUBURNWEIR_STATE_LEDGER_RECORD_HPP

#include "state/ids.hpp"

#include <string>
#include <variant>

/// Rows of the at-most-once ledger in the table service.
namespace auburnweir::state
{

/// Stored answer of a backend server to an operation.
struct operation_answer
{
    int status = 0; ///< HTTP status
    std::string content_type;
    std::string body;

    friend bool operator==(operation_answer const&, operation_answer const&) = default;
};

/// The operation may have been sent; only its owner knows its progress.
struct ledger_dispatched
{
    friend bool operator==(ledger_dispatched const&, ledger_dispatched const&) = default;
};

struct ledger_answered
{
    operation_answer answer;

    friend bool operator==(ledger_answered const&, ledger_answered const&) = default;
};

/// The operation was sent, and its outcome can no longer be determined.
struct ledger_unknown
{
    friend bool operator==(ledger_unknown const&, ledger_unknown const&) = default;
};

/// The operation is proved not to have run; another attempt may use the key.
struct ledger_released
{
    friend bool operator==(ledger_released const&, ledger_released const&) = default;
};

using ledger_state =
    std::variant<ledger_dispatched, ledger_answered, ledger_unknown, ledger_released>;

struct ledger_record
{
    attempt_token attempt;
    instance_id owner;
    sha256_digest fingerprint; ///< of service, operation and body
    ledger_state state;

    friend bool operator==(ledger_record const&, ledger_record const&) = default;
};

/// A row as read, with the version that the next conditional write expects.
struct ledger_row
{
    row_version version;
    ledger_record record;
};

} // namespace auburnweir::state

#endif
