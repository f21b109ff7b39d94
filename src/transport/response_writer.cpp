#include "transport/response_writer.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t longest_chunk_head = 24;

auto into(error_code& fault)
{
    return net::redirect_error(net::use_awaitable, fault);
}

template <class Body>
void set_head(http::response<Body>& response, caller_response const& reply, bool keep_alive)
{
    response.result(static_cast<unsigned>(reply.status));
    response.version(11);
    response.keep_alive(keep_alive);
    if (!reply.content_type.empty())
        response.set(http::field::content_type, reply.content_type);
    for (auto const& [name, value] : reply.headers)
        response.insert(name, value);
}

} // namespace

caller_response response_for(protocol::problem const& p)
{
    caller_response reply;
    reply.status = protocol::http_status(p.reason);
    reply.content_type = protocol::problem_content_type;
    reply.body = protocol::encode(p);
    if (!p.request.empty())
        reply.headers.emplace_back("X-Request-Id", p.request.str());
    if (p.retry_after)
        reply.headers.emplace_back("Retry-After", protocol::retry_after_seconds(*p.retry_after));
    return reply;
}

response_writer::response_writer(beast::tcp_stream& stream, state::duration limit)
    : stream_(stream)
    , limit_(limit)
    , io_limit_(stream)
{
}

net::awaitable<bool> response_writer::send(caller_response reply)
{
    http::response<http::string_body> response;
    set_head(response, reply, keep_alive_);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    io_limit_.begin(limit_);
    error_code fault;
    co_await http::async_write(stream_, response, into(fault));
    io_limit_.end();
    co_return !fault;
}

net::awaitable<bool> response_writer::begin(caller_response head)
{
    http::response<http::empty_body> response;
    set_head(response, head, keep_alive_);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    io_limit_.begin(limit_);
    error_code fault;
    co_await http::async_write_header(stream_, serializer, into(fault));
    io_limit_.end();
    co_return !fault;
}

net::awaitable<bool> response_writer::send_chunk(std::string part)
{
    constexpr std::string_view line_end = "\r\n";
    std::string chunk;
    chunk.reserve(part.size() + longest_chunk_head);
    std::array<char, longest_chunk_head> size{};
    auto const end = std::to_chars(size.begin(), size.end(), part.size(), 16).ptr;
    chunk.append(size.begin(), end).append(line_end).append(part).append(line_end);

    // Most parts fit the socket's buffer: sent at once, without a round through the event loop.
    auto const sent = ::send(
        stream_.socket().native_handle(), chunk.data(), chunk.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent == static_cast<ssize_t>(chunk.size()))
        co_return true;
    bool const full = sent >= 0 || errno == EAGAIN || errno == EWOULDBLOCK;
    if (!full)
        co_return false;
    auto const rest = net::buffer(chunk) + static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    io_limit_.begin(limit_);
    error_code fault;
    co_await net::async_write(stream_, rest, into(fault));
    io_limit_.end();
    co_return !fault;
}

net::awaitable<bool> response_writer::end()
{
    io_limit_.begin(limit_);
    error_code fault;
    co_await net::async_write(stream_, http::make_chunk_last(), into(fault));
    io_limit_.end();
    co_return !fault;
}

bool response_writer::caller_has_disconnected()
{
    char byte = 0;
    auto const got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got == 0)
        return true;
    return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace auburnweir::transport
