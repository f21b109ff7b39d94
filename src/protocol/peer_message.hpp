#ifndef AUBURNWEIR_PROTOCOL_PEER_MESSAGE_HPP
#define AUBURNWEIR_PROTOCOL_PEER_MESSAGE_HPP

#include "protocol/decoded.hpp"
#include "state/instance_report.hpp"
#include "state/journal.hpp"
#include "state/report_response.hpp"
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

/// Matches a response with its pending call on one link.
using correlation_id = state::quantity<struct correlation_unit, std::uint64_t>;

/// Identifies a journal.
struct journal_key
{
    state::organisation_id organisation;
    state::request_id id;
};

/// The sender owns a request and asks the receiver to keep a replica of its journal. It has no
/// response of its own; the ack of the first tokens states whether the replica exists.
struct journal_open
{
    state::chat_request request;
    state::generation_lineage lineage;
};

/// Tokens of one answer to append to a replica.
struct journal_append
{
    journal_key key;
    state::journal_chunk chunk;
};

/// Tokens of several answers, acknowledged by one `journal_ack`.
struct journal_batch
{
    std::vector<journal_append> appends;
    correlation_id call_id;
};

enum class ack_status : std::uint8_t
{
    accepted,
    unknown,   ///< the receiver lacks the journal or tokens before the chunk: open it again
    superseded ///< another instance owns the request now
};

/// Result of one `journal_append`.
struct append_ack
{
    ack_status status = ack_status::accepted;
    bool read_recently = false; ///< a caller has recently read the answer from the replica
};

/// Results of a `journal_batch`, in the order of its appends.
struct journal_ack
{
    std::vector<append_ack> appends;
    correlation_id call_id;
};

/// Asks for the tokens of a journal that follow `after`.
struct journal_read
{
    journal_key key;
    state::sequence_number after;
    correlation_id call_id;
};

/// Response to `journal_read`; `chunk` is null when the sender does not hold the journal.
struct journal_response
{
    std::optional<state::journal_chunk> chunk;
    state::generation_lineage lineage;
    correlation_id call_id;
};

/// The sender is stopping; the receiver adopts those of its requests whose journals it replicates.
struct journal_handover
{
    state::instance_id owner;
};

/// A backend server is leaving and gets no new work.
struct backend_leaving
{
    state::backend_id backend;
    std::optional<state::duration> time_left;
};

/// Asks the receiver to add a conditional write to its next transaction, which groups the writes
/// of several instances.
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

/// Checks that the receiver responds.
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
    state::report_response>;

/// Encodes messages as one frame.
std::string encode_frame(std::vector<peer_message> const& messages);

/// Decodes a frame; an error in any message rejects the whole frame.
decoded<std::vector<peer_message>> decode_frame(std::string_view frame);

} // namespace auburnweir::protocol

#endif
