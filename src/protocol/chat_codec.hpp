#ifndef AUBURNWEIR_PROTOCOL_CHAT_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_CHAT_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/journal.hpp"
#include "state/request.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Chat completions in the formats of callers and of engines.
namespace auburnweir::protocol
{

/// Decodes the body of a caller's chat request. Of `header` it sets only `service`, which is the
/// body's `model`; the calling code sets the rest. `max_tokens` is 0 when the body has none.
decoded<state::chat_request> decode_chat_request(std::string_view body);

/// Body of a chat request as it is stored and sent between instances.
std::string encode_stored_chat(state::chat_request const& request);
decoded<state::chat_request> decode_stored_chat(std::string_view text);

/// Encodes a chunk of a journal as events of a caller's stream, with `[DONE]` at the end when the
/// chunk holds the finish reason. The event id of a token holds its generation and its number, for
/// `Last-Event-ID`.
std::string encode_chat_events(
    state::request_id const& id, state::journal_chunk const& chunk,
    state::generation_lineage const& lineage);

/// Event id of a token: `generation.number`.
std::string encode_resume_point(state::resume_point const& point);

/// Parses a `Last-Event-ID`: `generation.number`, or a number alone.
decoded<state::resume_point> decode_resume_point(std::string_view text);

/// The whole answer as one JSON body.
std::string encode_chat_answer(
    state::chat_request const& request, std::string const& text, state::token_count tokens,
    state::finish_reason finish);

/// Body of a request to an engine.
/// @param generated         text from earlier attempts that the engine continues
/// @param generated_tokens  number of tokens in `generated`
/// @param kv_handle         handle of the KV cache that the engine imports, or empty
std::string encode_engine_request(
    state::chat_request const& request, std::string const& generated,
    state::token_count generated_tokens, std::string const& kv_handle);

/// One token of an engine's stream.
struct engine_token
{
    std::string text;
};

/// The engine ended the answer.
struct engine_finish
{
    state::finish_reason reason;
};

/// The last event of a stream.
struct engine_done
{
};

/// An event without text, such as the first event, which holds only a role.
struct engine_empty_delta
{
};

using engine_event = std::variant<engine_token, engine_finish, engine_done, engine_empty_delta>;

/// Decodes the `data` of one event of an engine's stream.
decoded<engine_event> decode_engine_event(std::string_view data);

} // namespace auburnweir::protocol

#endif
