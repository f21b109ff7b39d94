#ifndef AUBURNWEIR_COORDINATION_OPERATION_RUN_HPP
#define AUBURNWEIR_COORDINATION_OPERATION_RUN_HPP

#include "state/ledger_record.hpp"
#include "state/reasons.hpp"
#include "state/request.hpp"
#include "state/time.hpp"

#include <optional>
#include <variant>

namespace auburnweir::coordination
{

// ---- what happened, from the outside ----

/// The conditional write took effect.
struct ledger_write_done
{
    state::row_version version;
};

/// The row was at another version; null when it is absent.
struct ledger_write_conflict
{
    std::optional<state::ledger_row> current;
};

/// No answer to the write; it may have taken effect.
struct ledger_write_lost
{
};

/// The table service refused the write before any effect.
struct ledger_write_refused
{
};

/// The row was read; null when it is absent.
struct ledger_row_read
{
    std::optional<state::ledger_row> current;
};

/// The row could not be read.
struct ledger_read_failed
{
};

/// The backend server answered the dispatched operation.
struct backend_answered
{
    state::operation_answer answer;
};

/// The dispatched operation is proved not to have run: nothing was sent, or the backend server
/// said so itself.
struct backend_did_not_run
{
};

/// The operation was sent and no answer came.
struct backend_response_lost
{
};

/// The time set by `wait` is over.
struct wait_elapsed
{
};

using operation_event = std::variant<
    ledger_write_done, ledger_write_conflict, ledger_write_lost, ledger_write_refused,
    ledger_row_read, ledger_read_failed, backend_answered, backend_did_not_run,
    backend_response_lost, wait_elapsed>;

// ---- what to do next ----

/// Write `record` if the row is at `expect`.
struct write_row
{
    state::ledger_record record;
    state::row_version expect;
};

struct read_row
{
};

/// Wait, then report `wait_elapsed`.
struct wait
{
    state::duration length;
};

/// Send the operation to a backend server. Given at most once, and again only after
/// `backend_did_not_run`.
struct dispatch
{
};

/// Return the operation's answer.
struct reply_answer
{
    state::operation_answer answer;
    bool replayed = false; ///< the answer of an earlier request with the same key
    bool stored = true;    ///< false: the answer row is still to be written, in the background
};

/// Return a refusal or failure.
struct reply_refusal
{
    state::refusal_reason reason;
    state::run_outcome outcome;
    bool release_needed = false; ///< a row of ours may remain: release it in the background
};

using operation_command =
    std::variant<write_row, read_row, wait, dispatch, reply_answer, reply_refusal>;

/// Bounds of one operation's work with the ledger.
struct operation_limits
{
    int most_store_attempts = 4; ///< writes and reads in a row without an answer
    state::duration store_retry_delay = std::chrono::milliseconds{50};
    int most_polls = 40; ///< reads while another attempt is in progress
    state::duration poll_delay = std::chrono::milliseconds{50};
};

/// State machine of one non-idempotent operation with a key.
///
/// The row `dispatched` is known to be stored before `dispatch` is given, so two runs of one key
/// can't both dispatch. `not_run` is reported only from states before `dispatch`, or on the
/// backend server's proof. Not thread-safe: one run belongs to one session. No I/O, no clock.
class operation_run
{
public:
    operation_run(
        state::attempt_token attempt, state::instance_id owner, state::sha256_digest fingerprint,
        operation_limits limits = {});

    operation_command start();
    operation_command handle(operation_event const& event);

    /// True once `dispatch` was given.
    bool was_dispatched() const { return dispatched_; }

private:
    enum class phase
    {
        reserving,
        dispatched,
        recording,
        polling,
        done
    };

    state::ledger_record record_with(state::ledger_state state) const;
    operation_command write_current();
    operation_command store_trouble(operation_command again);
    operation_command on_written(ledger_write_done const& e);
    operation_command on_row(std::optional<state::ledger_row> const& row);
    operation_command on_own_row(state::ledger_row const& row);
    operation_command on_foreign_row(state::ledger_row const& row);
    operation_command give_up_on_store();
    operation_command finish_recorded(bool stored);
    operation_command record_result(state::ledger_state result);
    operation_command refuse(
        state::refusal_reason reason, state::run_outcome outcome, bool release_needed = false);

    state::attempt_token attempt_;
    state::instance_id owner_;
    state::sha256_digest fingerprint_;
    operation_limits limits_;
    phase phase_ = phase::reserving;
    state::ledger_state target_; ///< what the next write makes of the row
    state::row_version expect_;
    int store_attempts_ = 0;
    int polls_ = 0;
    bool write_in_doubt_ = false; ///< a reserving write of ours may take effect yet
    bool read_next_ = false;      ///< after `wait`: read rather than write
    bool dispatched_ = false;
};

} // namespace auburnweir::coordination

#endif
