#include "protocol/request_head.hpp"

#include "protocol/chat_codec.hpp"
#include "protocol/option_table.hpp"

#include <algorithm>

namespace auburnweir::protocol
{

namespace
{

constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;
constexpr std::size_t max_idempotency_key_bytes = 128;

/// True for printable ASCII without blanks, which is valid in a row key and in a header.
bool is_valid_idempotency_key(std::string_view text)
{
    auto const printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
    return !text.empty() && text.size() <= max_idempotency_key_bytes &&
           std::all_of(text.begin(), text.end(), printable);
}

std::optional<state::priority> parse_priority(std::string_view name)
{
    if (name.empty() || name == "interactive")
        return state::priority::interactive;
    if (name == "ordinary")
        return state::priority::ordinary;
    if (name == "deferrable")
        return state::priority::deferrable;
    return std::nullopt;
}

request_route get_route(std::string_view path)
{
    constexpr std::string_view requests = "/v1/requests/";
    if (path == "/health")
        return health_route{};
    if (path == "/ready")
        return readiness_route{};
    if (path == "/metrics")
        return metrics_route{};
    if (path.starts_with(requests) && is_identifier(path.substr(requests.size())))
        return answer_route{state::request_id{std::string{path.substr(requests.size())}}};
    return unknown_route{};
}

request_route post_route(std::string_view path)
{
    constexpr std::string_view services = "/v1/services/";
    if (path == "/v1/chat/completions")
        return chat_route{};
    if (!path.starts_with(services))
        return unknown_route{};
    auto const rest = path.substr(services.size());
    auto const slash = rest.find('/');
    if (slash == std::string_view::npos)
        return unknown_route{};
    auto const service = rest.substr(0, slash);
    auto const operation = rest.substr(slash + 1);
    if (!is_identifier(service) || !is_identifier(operation))
        return unknown_route{};
    return operation_route{
        state::service_id{std::string{service}}, state::operation_name{std::string{operation}}};
}

} // namespace

request_route route_of(std::string_view method, std::string_view target)
{
    auto const path = target.substr(0, target.find('?'));
    if (method == "GET")
        return get_route(path);
    if (method == "POST")
        return post_route(path);
    return unknown_route{};
}

decoded<request_head> decode_request_head(raw_headers const& raw)
{
    request_head head;
    constexpr std::string_view scheme = "Bearer ";
    if (raw.authorization.starts_with(scheme))
        head.bearer = raw.authorization.substr(scheme.size());
    if (!raw.request_id.empty() && !is_identifier(raw.request_id))
        return decode_error{"X-Request-Id must be 1 to 64 letters, digits, '-', '_' or '.'"};
    head.id = state::request_id{raw.request_id};
    if (!raw.idempotency_key.empty())
    {
        if (!is_valid_idempotency_key(raw.idempotency_key))
            return decode_error{"Idempotency-Key must be 1 to 128 printable characters"};
        head.key = state::idempotency_key{raw.idempotency_key};
    }
    if (!raw.last_event_id.empty())
    {
        auto const point = decode_resume_point(raw.last_event_id);
        if (!point)
            return point.error();
        head.resume = point.value();
    }
    if (!raw.timeout_ms.empty())
    {
        auto const ms = parse_number<std::int64_t>(raw.timeout_ms, 1, max_timeout_ms);
        if (!ms)
            return decode_error{"X-Deadline-Ms must be a whole number from 1 to 86400000"};
        head.timeout = std::chrono::milliseconds{*ms};
    }
    auto const level = parse_priority(raw.priority);
    if (!level)
        return decode_error{"X-Priority must be interactive, ordinary or deferrable"};
    head.priority = *level;
    head.content_type = raw.content_type;
    return head;
}

} // namespace auburnweir::protocol
