#ifndef AUBURNWEIR_STATE_REQUEST_HPP
#define AUBURNWEIR_STATE_REQUEST_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnweir::state
{

enum class priority : std::uint8_t
{
    interactive,
    ordinary,
    deferrable
};

/// Whether an operation ran at its backend server.
enum class run_outcome : std::uint8_t
{
    not_run,
    ran,
    outcome_unknown
};

/// One message of a chat.
struct chat_message
{
    std::string role;
    std::string content;
};

/// Fields common to all requests.
struct request_header
{
    request_id id;
    organisation_id organisation;
    service_id service;
    state::priority priority = state::priority::ordinary;
    std::optional<duration> timeout; ///< from acceptance of the request to the end of its answer
};

struct chat_request
{
    request_header header;
    std::vector<chat_message> messages;
    token_count max_tokens{0};
    bool streamed = false;
};

struct operation_request
{
    request_header header;
    operation_name operation;
    std::optional<idempotency_key> key;
    std::string body;
    std::string content_type;
};

/// Estimated token count of a text, at four bytes per token.
token_count estimated_tokens(std::string_view text);

/// Estimated token count of all messages together.
token_count prompt_tokens(chat_request const& request);

} // namespace auburnweir::state

#endif
