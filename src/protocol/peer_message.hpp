#ifndef AUBURNWEIR_PROTOCOL_PEER_MESSAGE_HPP
#define AUBURNWEIR_PROTOCOL_PEER_MESSAGE_HPP

#include "protocol/decoded.hpp"
#include "state/deployment_view.hpp"
#include "state/instance_report.hpp"
#include "state/journal.hpp"
#include "state/request.hpp"
#include "state/table_write.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between entry instances, in CBOR.
namespace auburnweir::protocol
{

/// Matches an answer with its question on one link.
using correlation_id = state::quantity<struct correlation_unit, std::uint64_t>;

/// Names a journal.
struct journal_key
{
    state::organisation_id organisation;
    state::request_id id;
};

/// The sender owns a request; the receiver keeps a replica of its journal. Not answered: the ack
/// of the first tokens tells.
struct journal_open
{
    state::chat_request request;
    state::generation_lineage lineage;
};

/// Tokens of one answer for a replica.
struct journal_append
{
    journal_key key;
    state::journal_part chunk;
};

/// Tokens of several answers, answered by one ack.
struct journal_batch
{
    std::vector<journal_append> appends;
    correlation_id call_id;
};

enum class ack_status : std::uint8_t
{
    accepted,
    unknown,   ///< the replica lacks the journal or a part of it: open it again
    superseded ///< another instance drives the request now
};

/// What became of one `journal_append`.
struct append_ack
{
    ack_status status = ack_status::accepted;
    bool read_recently = false; ///< a caller reads the answer through the replica
};

/// What became of a `journal_batch`, in its order.
struct journal_ack
{
    std::vector<append_ack> appends;
    correlation_id call_id;
};

/// Asks for a journal's tokens after `after`.
struct journal_read
{
    journal_key key;
    state::sequence_number after;
    correlation_id call_id;
};

/// Answer to `journal_read`; null when the journal is not held.
struct journal_response
{
    std::optional<state::journal_part> chunk;
    state::generation_lineage lineage;
    correlation_id call_id;
};

/// The sender stops: the receiver finishes the sender's requests that it holds replicas of.
struct journal_handover
{
    state::instance_id owner;
};

/// A backend server gets no new work.
struct backend_leaving
{
    state::backend_id backend;
    std::optional<state::duration> time_left;
};

/// Asks the receiver to put a conditional write into its next transaction.
struct grouped_write
{
    state::table_write write;
    correlation_id call_id;
};

/// Result of a `grouped_write`.
struct grouped_result
{
    state::write_result result;
    correlation_id call_id;
};

/// Asks whether the receiver is alive.
struct peer_ping
{
    correlation_id call_id;
};

struct peer_pong
{
    correlation_id call_id;
};

using peer_message = std::variant<
    journal_open, journal_batch, journal_ack, journal_read, journal_response, journal_handover,
    backend_leaving, grouped_write, grouped_result, peer_ping, peer_pong, state::instance_report,
    state::deployment_view>;

/// Encodes messages as one frame.
std::string encode_frame(std::vector<peer_message> const& messages);

/// Decodes a frame; any fault refuses the whole of it.
decoded<std::vector<peer_message>> decode_frame(std::string_view frame);

} // namespace auburnweir::protocol

#endif
