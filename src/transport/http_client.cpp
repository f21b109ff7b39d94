#include "transport/http_client.hpp"

#include "transport/io_limit.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t read_buffer_bytes = 2048;
constexpr std::size_t header_limit_bytes = 16384;
constexpr std::size_t whole_body_limit_bytes = 64UL * 1024 * 1024;
constexpr std::size_t most_kept_per_endpoint = 64;

/// Waits on completion without exceptions.
auto into(error_code& fault)
{
    return net::redirect_error(net::use_awaitable, fault);
}

http_fault lost_by(bool interrupted)
{
    return interrupted ? http_fault::timed_out : http_fault::lost;
}

} // namespace

struct http_client::connection
{
    connection(net::io_context& io, state::endpoint to)
        : stream(io)
        , address(std::move(to))
        , buffer(header_limit_bytes + read_buffer_bytes)
        , limit(stream)
    {
    }

    /// True when the other side has closed it or has sent something unasked.
    bool is_stale()
    {
        char byte = 0;
        auto const got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool const quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return !quiet;
    }

    beast::tcp_stream stream;
    state::endpoint address;
    beast::flat_buffer buffer;
    io_limit limit;
};

struct http_stream::state
{
    state(http_client& owner, http_client::connection_ptr c)
        : client(owner)
        , connection(std::move(c))
    {
        parser.header_limit(header_limit_bytes);
        parser.body_limit(UINT64_MAX);
    }

    http_client& client;
    http_client::connection_ptr connection;
    http::response_parser<http::buffer_body> parser;
    std::array<char, read_buffer_bytes> bytes{};

    /// Parses what was received into `bytes`. @return how many bytes of the body are there
    std::size_t parse_received(error_code& fault);

    /// Waits for bytes and puts them into the connection's buffer. One wait and one system call,
    /// where the library's composed read makes two calls and several hand-overs.
    net::awaitable<error_code> receive(auburnweir::state::duration limit);

    /// After the last byte: the connection may be used again.
    void give_back()
    {
        if (connection && parser.is_done() && parser.keep_alive())
            client.keep(std::move(connection));
        connection.reset();
    }
};

http_stream::http_stream(std::unique_ptr<state> s)
    : state_(std::move(s))
{
}

http_stream::http_stream(http_stream&&) noexcept = default;
http_stream& http_stream::operator=(http_stream&&) noexcept = default;
http_stream::~http_stream() = default;

int http_stream::status() const
{
    return state_->parser.get().result_int();
}

http_fields const& http_stream::headers() const
{
    return state_->parser.get().base();
}

std::size_t http_stream::state::parse_received(error_code& fault)
{
    auto& body = parser.get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    auto& buffer = connection->buffer;
    fault = {};
    while (buffer.size() > 0 && !parser.is_done() && !fault)
        buffer.consume(parser.put(buffer.data(), fault));
    bool const wants_more = fault == http::error::need_more || fault == http::error::need_buffer;
    if (wants_more)
        fault = {};
    return bytes.size() - parser.get().body().size;
}

net::awaitable<error_code> http_stream::state::receive(auburnweir::state::duration limit)
{
    auto& c = *connection;
    error_code fault;
    c.limit.begin(limit);
    co_await c.stream.socket().async_wait(tcp::socket::wait_read, into(fault));
    if (c.limit.end())
        co_return beast::error::timeout;
    if (fault)
        co_return fault;
    auto const room = c.buffer.prepare(read_buffer_bytes);
    auto const got =
        ::recv(c.stream.socket().native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (got > 0)
        c.buffer.commit(static_cast<std::size_t>(got));
    else if (got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
        fault = net::error::eof;
    co_return fault;
}

net::awaitable<http_result<std::string_view>> http_stream::read(auburnweir::state::duration limit)
{
    auto& s = *state_;
    while (!s.parser.is_done())
    {
        error_code fault;
        auto const got = s.parse_received(fault);
        if (fault)
            co_return http_fault::lost;
        if (got > 0)
            co_return std::string_view{s.bytes.data(), got};
        if (s.parser.is_done())
            break;
        fault = co_await s.receive(limit);
        if (fault == net::error::eof)
            s.parser.put_eof(fault);
        if (fault)
            co_return lost_by(fault == beast::error::timeout);
    }
    s.give_back();
    co_return std::string_view{};
}

net::awaitable<http_result<std::string>> http_stream::read_rest(
    std::size_t most, auburnweir::state::duration limit)
{
    std::string all;
    for (;;)
    {
        auto const part = co_await read(limit);
        if (!part)
            co_return part.error();
        if (part.value().empty())
            co_return all;
        if (all.size() + part.value().size() > most)
            co_return http_fault::too_large;
        all.append(part.value());
    }
}

http_client::http_client(net::io_context& io)
    : io_(io)
{
}

http_client::~http_client() = default;

http_client::connection_ptr http_client::take_kept(state::endpoint const& to)
{
    auto const it = kept_.find(to);
    if (it == kept_.end())
        return nullptr;
    while (!it->second.empty())
    {
        auto c = std::move(it->second.back());
        it->second.pop_back();
        if (!c->is_stale())
            return c;
    }
    return nullptr;
}

void http_client::keep(connection_ptr c)
{
    c->buffer.consume(c->buffer.size());
    auto& list = kept_[c->address];
    if (list.size() < most_kept_per_endpoint)
        list.push_back(std::move(c));
}

net::awaitable<http_result<http_client::connection_ptr>> http_client::connect(
    state::endpoint to, state::duration limit)
{
    auto c = std::make_unique<connection>(io_, to);
    error_code fault;
    tcp::endpoint const address{net::ip::make_address(to.host, fault), to.port};
    if (fault)
        co_return http_fault::connect_failed;
    c->limit.begin(limit);
    co_await c->stream.async_connect(address, into(fault));
    c->limit.end();
    if (fault)
        co_return http_fault::connect_failed;
    c->stream.socket().set_option(tcp::no_delay(true), fault);
    co_return std::move(c);
}

net::awaitable<http_result<http_stream>> http_client::open(
    state::endpoint to, http_call what, state::duration limit, connection_use use)
{
    auto c = use == connection_use::kept ? take_kept(to) : nullptr;
    if (!c)
    {
        auto connected = co_await connect(to, limit);
        if (!connected)
            co_return connected.error();
        c = std::move(connected.value());
    }
    http::request<http::string_body> request{
        http::string_to_verb(what.method), what.target, 11, std::move(what.body)};
    request.set(http::field::host, to.host + ":" + std::to_string(to.port));
    if (!what.content_type.empty())
        request.set(http::field::content_type, what.content_type);
    for (auto const& [name, value] : what.headers)
        request.set(name, value);
    request.prepare_payload();

    c->limit.begin(limit);
    error_code fault;
    co_await http::async_write(c->stream, request, into(fault));
    if (fault)
        co_return lost_by(c->limit.end());
    auto s = std::make_unique<http_stream::state>(*this, std::move(c));
    co_await http::async_read_header(
        s->connection->stream, s->connection->buffer, s->parser, into(fault));
    bool const interrupted = s->connection->limit.end();
    if (fault)
        co_return lost_by(interrupted);
    s->parser.eager(true);
    co_return http_stream{std::move(s)};
}

net::awaitable<http_result<http_reply>> http_client::call(
    state::endpoint to, http_call what, state::duration limit, connection_use use)
{
    auto opened = co_await open(std::move(to), std::move(what), limit, use);
    if (!opened)
        co_return opened.error();
    auto& stream = opened.value();
    http_reply reply;
    reply.status = stream.status();
    reply.headers = stream.headers();
    auto rest = co_await stream.read_rest(whole_body_limit_bytes, limit);
    if (!rest)
        co_return rest.error();
    reply.body = std::move(rest.value());
    co_return std::move(reply);
}

} // namespace auburnweir::transport
