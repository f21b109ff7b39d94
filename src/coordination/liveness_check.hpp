#ifndef AUBURNWEIR_COORDINATION_LIVENESS_CHECK_HPP
#define AUBURNWEIR_COORDINATION_LIVENESS_CHECK_HPP

#include "state/quantity.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

/// Number of a response that has ended with its connection, unique in one `liveness_check`.
using end_number = state::quantity<struct response_end_unit, std::uint64_t>;

/// A response whose end is that of its connection, and which is whole if the server's process has
/// outlived it.
struct connection_end
{
    end_number number{0};
    state::time_point requested_at{}; ///< when its request was sent
    state::time_point deadline{};     ///< it is not waited for longer
};

/// The listed server has answered the question.
struct server_answered
{
    /// Whether the answer names the lifetime that the directory lists; null: it names none.
    std::optional<bool> is_listed_life;
};

/// Another server has answered at the address.
struct other_server_answered
{
};

/// A connection was open and brought no answer.
struct open_connection_failed
{
};

/// No process accepts connections at the address.
struct connection_refused
{
};

/// No connection could be opened, for a reason that says nothing of the process.
struct question_unsent
{
};

using question_result = std::variant<
    server_answered, other_server_answered, open_connection_failed, connection_refused,
    question_unsent>;

/// What is known of the process that sent a response after the response's end.
enum class process_state : std::uint8_t
{
    outlived_response,
    unknown ///< it may have died, and its kernel have closed the connection
};

struct decided_end
{
    end_number number{0};
    process_state process = process_state::unknown;
};

/// Decides whether one server's process has outlived the responses that ended with their
/// connections, by the answers to questions that are sent to the server after these ends.
///
/// The kernel of a process that dies closes its connections as the process itself would. Such a
/// process runs no more code once the first of them is closed, so an answer to a later question
/// proves that the connection was closed by the server. One question counts for all responses that
/// ended before it was sent, and only one is on its way at a time.
///
/// Not thread-safe: used by one worker.
class liveness_check
{
public:
    /// Wait after a question that was not answered. After the first one in a row the next question
    /// is sent at once, as an idle connection may have been closed before.
    static constexpr state::duration retry_delay = std::chrono::milliseconds{50};

    void add(connection_end end);

    bool has_ends() const { return !ends_.empty(); }

    /// Whether a question may be sent now.
    bool wants_question(state::time_point now) const;

    /// When `wants_question` or `expire` changes without an event; null while a question is on its
    /// way and no end expires, or when there are no ends.
    std::optional<state::time_point> next_change() const;

    /// Records that a question is sent.
    /// @param opened_at  when its connection was opened
    void begin_question(state::time_point opened_at);

    /// Records the result of the question. @return the ends that it decides
    std::vector<decided_end> end_question(question_result const& result, state::time_point now);

    /// Records that an idle connection to the server has ended.
    void record_failed_connection(state::time_point now) { open_connection_failed_at_ = now; }

    /// Decides the ends that are waited for no longer.
    std::vector<decided_end> expire(state::time_point now);

private:
    struct waiting_end
    {
        connection_end end;
        bool is_asked_for = false; ///< the question on its way was sent after it
    };

    std::optional<process_state> decide(
        connection_end const& end, question_result const& result) const;

    std::map<end_number, waiting_end> ends_;
    std::optional<state::time_point> question_opened_at_; ///< null: no question is on its way
    int unanswered_in_row_ = 0;
    state::time_point not_before_{}; ///< of the next question

    /// When an open connection was last found to have failed. For responses that were requested
    /// before, only a named lifetime tells the process from its successor.
    std::optional<state::time_point> open_connection_failed_at_;
};

} // namespace auburnweir::coordination

#endif
