#ifndef AUBURNWEIR_PROTOCOL_REQUEST_HEAD_HPP
#define AUBURNWEIR_PROTOCOL_REQUEST_HEAD_HPP

#include "protocol/decoded.hpp"
#include "state/journal.hpp"
#include "state/request.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Request lines and headers of the callers' interface, independent of an HTTP library.
namespace auburnweir::protocol
{

/// `POST /v1/chat/completions`
struct chat_route
{
};

/// `POST /v1/services/{service}/{operation}`
struct operation_route
{
    state::service_id service;
    state::operation_name operation;
};

/// `GET /v1/requests/{id}`
struct answer_route
{
    state::request_id id;
};

struct health_route
{
};

struct readiness_route
{
};

struct metrics_route
{
};

struct unknown_route
{
};

using request_route = std::variant<
    chat_route, operation_route, answer_route, health_route, readiness_route, metrics_route,
    unknown_route>;

/// Finds the route of a request by its method and target.
request_route route_of(std::string_view method, std::string_view target);

/// Header values as received; empty when absent.
struct raw_headers
{
    std::string authorization;
    std::string request_id;
    std::string idempotency_key;
    std::string last_event_id;
    std::string timeout_ms; ///< of `X-Deadline-Ms`
    std::string priority;
    std::string content_type;
};

/// Decoded headers of a caller's request.
struct request_head
{
    std::string bearer;
    state::request_id id; ///< empty: the entry instance generates one
    std::optional<state::idempotency_key> key;
    state::resume_point resume; ///< last position of the answer that the caller has received
    std::optional<state::duration> timeout;
    state::priority priority = state::priority::interactive;
    std::string content_type;
};

/// Names of the non-standard headers.
constexpr std::string_view timeout_header = "X-Deadline-Ms";
constexpr std::string_view priority_header = "X-Priority";

decoded<request_head> decode_request_head(raw_headers const& raw);

} // namespace auburnweir::protocol

#endif
