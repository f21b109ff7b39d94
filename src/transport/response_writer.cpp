#include "transport/response_writer.hpp"

#include "state/overloaded.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t max_chunk_framing_bytes = 24;
constexpr unsigned version_1_0 = 10;
constexpr unsigned version_1_1 = 11;

auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

unsigned number_of(http_version version)
{
    return std::visit(
        state::overloaded{
            [](http_1_1) { return version_1_1; }, [](http_1_0) { return version_1_0; }},
        version);
}

/// The framing that the caller understands in place of the wanted one.
response_framing framing_for(http_version version, response_framing wanted)
{
    return std::visit(
        state::overloaded{
            [&](http_1_1, auto) { return wanted; }, [&](http_1_0, sized_body) { return wanted; },
            [](http_1_0, auto) { return response_framing{guarded_body{}}; }},
        version, wanted);
}

bool ends_with_connection(response_framing framing)
{
    return std::visit(
        state::overloaded{
            [](chunked_body) { return false; }, [](sized_body) { return false; },
            [](unframed_body) { return true; }, [](guarded_body) { return true; }},
        framing);
}

template <class Body>
void set_header(
    http::response<Body>& response, caller_response const& from, http_version version,
    bool keep_alive)
{
    response.result(static_cast<unsigned>(from.status));
    response.version(number_of(version));
    response.keep_alive(keep_alive);
    if (!from.content_type.empty())
        response.set(http::field::content_type, from.content_type);
    for (auto const& [name, value] : from.headers)
        response.insert(name, value);
}

} // namespace

caller_response response_for(protocol::problem const& p)
{
    caller_response response;
    response.status = protocol::http_status(p.reason);
    response.content_type = protocol::problem_content_type;
    response.body = protocol::encode(p);
    if (!p.request.empty())
        response.headers.emplace_back("X-Request-Id", p.request.str());
    if (p.retry_after)
        response.headers.emplace_back("Retry-After", protocol::retry_after_seconds(*p.retry_after));
    return response;
}

http_version version_of(unsigned number)
{
    return number < version_1_1 ? http_version{http_1_0{}} : http_version{http_1_1{}};
}

bool reads_interim_responses(http_version version)
{
    return std::visit(
        state::overloaded{[](http_1_1) { return true; }, [](http_1_0) { return false; }}, version);
}

response_writer::response_writer(beast::tcp_stream& stream, state::duration timeout)
    : stream_(stream)
    , timeout_(timeout)
    , io_timeout_(stream)
{
}

net::awaitable<bool> response_writer::send(caller_response whole)
{
    http::response<http::string_body> response;
    set_header(response, whole, version_, keep_alive_);
    response.body() = std::move(whole.body);
    response.prepare_payload();
    io_timeout_.begin(timeout_);
    error_code error;
    co_await http::async_write(stream_, response, redirect_error_to(error));
    io_timeout_.end();
    co_return !error;
}

net::awaitable<bool> response_writer::begin(caller_response header, response_framing framing)
{
    framing_ = framing_for(version_, framing);
    if (ends_with_connection(framing_))
        keep_alive_ = false;
    http::response<http::empty_body> response;
    set_header(response, header, version_, keep_alive_);
    std::visit(
        state::overloaded{
            [&](chunked_body) { response.chunked(true); },
            [&](sized_body body) { response.content_length(body.length); }, [](unframed_body) {},
            [this](guarded_body) { set_close_effect(close_effect::reset); }},
        framing_);
    http::response_serializer<http::empty_body> serializer(response);
    io_timeout_.begin(timeout_);
    error_code error;
    co_await http::async_write_header(stream_, serializer, redirect_error_to(error));
    io_timeout_.end();
    co_return !error;
}

namespace
{

std::string chunk_of(std::string const& data)
{
    constexpr std::string_view line_end = "\r\n";
    std::string chunk;
    chunk.reserve(data.size() + max_chunk_framing_bytes);
    std::array<char, max_chunk_framing_bytes> size{};
    auto const end = std::to_chars(size.begin(), size.end(), data.size(), 16).ptr;
    chunk.append(size.begin(), end).append(line_end).append(data).append(line_end);
    return chunk;
}

} // namespace

net::awaitable<bool> response_writer::send_part(std::string data)
{
    std::string chunk = std::move(data);
    if (std::holds_alternative<chunked_body>(framing_))
        chunk = chunk_of(chunk);

    // Most chunks fit the socket's send buffer, so they are sent without a pass through the event
    // loop.
    auto const sent = ::send(
        stream_.socket().native_handle(), chunk.data(), chunk.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent == static_cast<ssize_t>(chunk.size()))
        co_return true;
    bool const buffer_is_full = sent >= 0 || errno == EAGAIN || errno == EWOULDBLOCK;
    if (!buffer_is_full)
        co_return false;
    auto const rest = net::buffer(chunk) + static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    io_timeout_.begin(timeout_);
    error_code error;
    co_await net::async_write(stream_, rest, redirect_error_to(error));
    io_timeout_.end();
    co_return !error;
}

net::awaitable<bool> response_writer::end()
{
    if (std::holds_alternative<guarded_body>(framing_))
        set_close_effect(close_effect::orderly_end);
    if (!std::holds_alternative<chunked_body>(framing_))
        co_return true;
    io_timeout_.begin(timeout_);
    error_code error;
    co_await net::async_write(stream_, http::make_chunk_last(), redirect_error_to(error));
    io_timeout_.end();
    co_return !error;
}

void response_writer::set_close_effect(close_effect effect)
{
    is_guarded_ = effect == close_effect::reset;
    // Set directly: Asio takes its own option back when it destroys an open socket.
    ::linger option{};
    option.l_onoff = is_guarded_ ? 1 : 0;
    option.l_linger = 0;
    ::setsockopt(stream_.socket().native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool response_writer::caller_has_disconnected()
{
    char byte = 0;
    auto const received =
        ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0)
        return true;
    return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace auburnweir::transport
