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

// ---- Events: results of the commands ----

/// The conditional write took effect.
struct ledger_write_done
{
    state::row_version version;
};

/// The row is at another version; null when it is absent.
struct ledger_write_conflict
{
    std::optional<state::ledger_row> current;
};

/// The write got no response; it may have taken effect.
struct ledger_write_response_lost
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
/// stated it.
struct backend_did_not_run
{
};

/// The operation was sent but got no response; it may have run.
struct backend_response_lost
{
};

/// The duration of `wait` has elapsed.
struct wait_elapsed
{
};

using operation_event = std::variant<
    ledger_write_done, ledger_write_conflict, ledger_write_response_lost, ledger_write_refused,
    ledger_row_read, ledger_read_failed, backend_answered, backend_did_not_run,
    backend_response_lost, wait_elapsed>;

// ---- Commands: what the caller does next ----

/// Write `record` if the row is at `expect`.
struct write_row
{
    state::ledger_record record;
    state::row_version expect;
};

struct read_row
{
};

/// Wait, then pass `wait_elapsed` to `handle`.
struct wait
{
    state::duration length;
};

/// Send the operation to a backend server. Returned at most once, and again only after
/// `backend_did_not_run`.
struct dispatch
{
};

/// Return the operation's answer.
struct reply_answer
{
    state::operation_answer answer;
    bool replayed = false; ///< it answered an earlier request with the same key
    bool stored = true;    ///< false: the caller must write the answer's row in the background
};

/// Return a refusal or failure.
struct reply_refusal
{
    state::refusal_reason reason;
    state::run_outcome outcome;
    bool release_needed = false; ///< this attempt's row may remain: release it in the background
};

using operation_command =
    std::variant<write_row, read_row, wait, dispatch, reply_answer, reply_refusal>;

/// Limits of one operation's calls to the ledger's store.
struct operation_limits
{
    int max_store_attempts = 4; ///< consecutive writes and reads without a result
    state::duration store_retry_delay = std::chrono::milliseconds{50};
    int max_polls = 40; ///< reads of the row while another attempt is in progress
    state::duration poll_delay = std::chrono::milliseconds{50};
};

/// State machine of one non-idempotent operation with a key.
///
/// The row `dispatched` is known to be stored before `dispatch` is returned, so two runs of one key
/// can't both dispatch. `not_run` is reported only from states before `dispatch`, or on the
/// backend server's proof. Not thread-safe: one run belongs to one session. Does no I/O and reads
/// no clock.
class operation_run
{
public:
    operation_run(
        state::attempt_token attempt, state::instance_id owner, state::sha256_digest fingerprint,
        operation_limits limits = {});

    operation_command start();
    operation_command handle(operation_event const& event);

    /// True once `dispatch` was returned.
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
    operation_command retry_store_call(operation_command retry);
    operation_command on_written(ledger_write_done const& e);
    operation_command on_row(std::optional<state::ledger_row> const& row);
    operation_command on_own_row(state::ledger_row const& row);
    operation_command on_foreign_row(state::ledger_row const& row);
    operation_command give_up_on_store();
    operation_command finish_with_result(bool stored);
    operation_command record_result(state::ledger_state result);
    operation_command refuse(
        state::refusal_reason reason, state::run_outcome outcome, bool release_needed = false);

    state::attempt_token attempt_;
    state::instance_id owner_;
    state::sha256_digest fingerprint_;
    operation_limits limits_;
    phase phase_ = phase::reserving;
    state::ledger_state target_state_; ///< state of the row after the next write
    state::row_version expect_;
    int store_attempts_ = 0;
    int polls_ = 0;
    bool write_may_take_effect_ = false; ///< a reserving write got no response
    bool read_after_wait_ = false;       ///< the next command after `wait` is a read, not a write
    bool dispatched_ = false;
};

} // namespace auburnweir::coordination

#endif
