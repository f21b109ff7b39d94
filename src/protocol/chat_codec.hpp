#ifndef AUBURNWEIR_PROTOCOL_CHAT_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_CHAT_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/journal.hpp"
#include "state/request.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Chat completions as callers send and receive them, and as engines do.
namespace auburnweir::protocol
{

/// Body of a caller's chat request; `header` is filled in by the caller of this function, except
/// for `service`, which is the body's `model`.
/// @param default_max_tokens  used when the body states no length
decoded<state::chat_request> decode_chat_request(std::string_view body);

/// Body of a chat request as it is stored and as it travels between instances.
std::string encode_stored_chat(state::chat_request const& request);
decoded<state::chat_request> decode_stored_chat(std::string_view text);

/// Events of a caller's stream for a part of a journal; ends with `[DONE]` when the part does.
/// Each token's event id names its generation and its number, for `Last-Event-ID`.
std::string encode_chat_events(
    state::request_id const& id, state::journal_part const& part,
    state::generation_lineage const& lineage);

/// Event id of a token: `generation.number`.
std::string encode_resume_point(state::resume_point const& point);

/// Reads a `Last-Event-ID`: `generation.number`, or a bare number.
decoded<state::resume_point> decode_resume_point(std::string_view text);

/// The whole answer as one JSON body.
std::string encode_chat_answer(
    state::chat_request const& request, std::string const& text, state::token_count tokens,
    state::finish_reason finish);

/// Body of a request to an engine.
/// @param answered     text answered by earlier attempts, to continue from
/// @param answered_tokens  tokens of that text
/// @param kv_handle    handle of an imported KV cache, or empty
std::string encode_engine_request(
    state::chat_request const& request, std::string const& answered,
    state::token_count answered_tokens, std::string const& kv_handle);

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

/// An event without text, such as the first one with only a role.
struct engine_empty_delta
{
};

using engine_event = std::variant<engine_token, engine_finish, engine_done, engine_empty_delta>;

/// Data of one event of an engine's stream.
decoded<engine_event> decode_engine_event(std::string_view data);

} // namespace auburnweir::protocol

#endif
