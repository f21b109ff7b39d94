#include "transport/http_client.hpp"

#include "transport/clock.hpp"
#include "transport/io_timeout.hpp"

#include <charconv>

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

http_error lost_by(bool interrupted)
{
    return interrupted ? http_error::timed_out : http_error::lost;
}

/// Share of the time that the other side promises to keep an idle connection, in which it is used.
constexpr double used_share_of_idle = 0.5;

/// Late answers that are read and dropped before a call counts as lost.
constexpr int most_late_answers = 3;

/// How long an idle connection may be used: by `Keep-Alive: timeout=N`, else without limit.
state::duration idle_limit_of(http_fields const& headers)
{
    constexpr std::string_view mark = "timeout=";
    auto const value = headers[http::field::keep_alive];
    std::string_view const text{value.data(), value.size()};
    auto const at = text.find(mark);
    if (at == std::string_view::npos)
        return std::chrono::hours{1};
    double seconds = 0;
    auto const* begin = text.data() + at + mark.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc{})
        return std::chrono::hours{1};
    return std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>(seconds * used_share_of_idle));
}

} // namespace

struct http_client::connection
{
    connection(net::io_context& io, state::endpoint to)
        : stream(io)
        , address(std::move(to))
        , buffer(header_limit_bytes + read_buffer_bytes)
        , timeout(stream)
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

    void close()
    {
        error_code ignored;
        stream.socket().close(ignored);
    }

    beast::tcp_stream stream;
    state::endpoint address;
    beast::flat_buffer buffer;
    io_timeout timeout;
    bool sending = false; ///< the request is not written to its end yet
    bool fresh = true;    ///< carries its first request
    state::time_point idle_since{};
    state::duration idle_limit = std::chrono::hours{1};
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

    ~state()
    {
        if (cancel)
            cancel->bind(nullptr);
        if (connection && connection->sending)
            connection->close();
    }

    http_client& client;
    http_client::connection_ptr connection;
    std::shared_ptr<call_cancellation> cancel;
    http::response_parser<http::buffer_body> parser;
    std::array<char, read_buffer_bytes> bytes{};

    /// Parses what was received into `bytes`. @return how many bytes of the body are there
    std::size_t parse_received(error_code& fault);

    /// Waits for bytes and puts them into the connection's buffer. One wait and one system call,
    /// where the library's composed read makes two calls and several hand-overs.
    net::awaitable<error_code> receive(auburnweir::state::duration timeout);

    /// After the last byte: the connection may be used again.
    void give_back()
    {
        if (cancel)
            cancel->bind(nullptr);
        bool const reusable = connection && parser.is_done() && parser.keep_alive() &&
                              !connection->sending && connection->buffer.size() == 0;
        if (reusable)
        {
            connection->idle_limit = idle_limit_of(parser.get().base());
            client.keep(std::move(connection));
        }
        else if (connection)
            connection->close();
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

net::awaitable<error_code> http_stream::state::receive(auburnweir::state::duration timeout)
{
    auto& c = *connection;
    error_code fault;
    c.timeout.begin(timeout);
    co_await c.stream.socket().async_wait(tcp::socket::wait_read, into(fault));
    if (c.timeout.end())
        co_return beast::error::timeout;
    if (fault)
        co_return fault;
    auto const room = c.buffer.prepare(read_buffer_bytes);
    auto const got =
        ::recv(c.stream.socket().native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (got > 0)
        c.buffer.commit(static_cast<std::size_t>(got));
    else if (got == 0)
        fault = net::error::eof;
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        fault = net::error::connection_reset; // not the end of an answer without a length
    co_return fault;
}

net::awaitable<http_result<std::string_view>> http_stream::read(auburnweir::state::duration timeout)
{
    auto& s = *state_;
    while (!s.parser.is_done())
    {
        error_code fault;
        auto const got = s.parse_received(fault);
        if (fault)
            co_return http_error::lost;
        if (got > 0)
            co_return std::string_view{s.bytes.data(), got};
        if (s.parser.is_done())
            break;
        fault = co_await s.receive(timeout);
        if (fault == net::error::eof)
            s.parser.put_eof(fault);
        if (fault)
            co_return lost_by(fault == beast::error::timeout);
    }
    s.give_back();
    co_return std::string_view{};
}

net::awaitable<http_result<std::string>> http_stream::read_rest(
    std::size_t most, auburnweir::state::duration timeout)
{
    std::string all;
    for (;;)
    {
        auto const part = co_await read(timeout);
        if (!part)
            co_return part.error();
        if (part.value().empty())
            co_return all;
        if (all.size() + part.value().size() > most)
            co_return http_error::too_large;
        all.append(part.value());
    }
}

http_client::http_client(net::io_context& io)
    : io_(io)
{
}

http_client::~http_client() = default;

http_client::connection_ptr http_client::take_kept(
    state::endpoint const& to, state::duration max_idle_time)
{
    auto const it = kept_.find(to);
    if (it == kept_.end())
        return nullptr;
    while (!it->second.empty())
    {
        auto c = std::move(it->second.back());
        it->second.pop_back();
        auto const idle = now() - c->idle_since;
        if (idle <= max_idle_time && idle <= c->idle_limit && !c->is_stale())
            return c;
    }
    return nullptr;
}

void http_client::keep(connection_ptr c)
{
    auto& list = kept_[c->address];
    if (list.size() >= most_kept_per_endpoint)
        return;
    c->idle_since = now();
    c->fresh = false;
    list.push_back(std::move(c));
}

void http_client::drop_kept(state::endpoint const& to)
{
    kept_.erase(to);
}

net::awaitable<http_result<http_client::connection_ptr>> http_client::connect(
    state::endpoint to, state::duration timeout)
{
    auto c = std::make_shared<connection>(io_, to);
    error_code fault;
    tcp::endpoint const address{net::ip::make_address(to.host, fault), to.port};
    if (fault)
        co_return http_error::connect_failed;
    c->timeout.begin(timeout);
    co_await c->stream.async_connect(address, into(fault));
    c->timeout.end();
    if (fault)
        co_return http_error::connect_failed;
    ++connections_opened_;
    c->stream.socket().set_option(tcp::no_delay(true), fault);
    co_return std::move(c);
}

void http_client::start_sending(connection_ptr c, http::request<http::string_body> request)
{
    // Apart from the reading: an answer may come before the whole request was taken.
    c->sending = true;
    auto message = std::make_shared<http::request<http::string_body>>(std::move(request));
    http::async_write(
        c->stream, *message,
        [c, message](error_code fault, std::size_t)
        {
            // After a fault the connection stays marked, so that it is not used again.
            if (!fault)
                c->sending = false;
        });
}

net::awaitable<http_result<bool>> http_client::read_header(
    http_stream::state& s, call_policy const& policy)
{
    auto& c = *s.connection;
    error_code fault;
    co_await http::async_read_header(c.stream, c.buffer, s.parser, into(fault));
    if (fault)
        co_return lost_by(c.timeout.end());
    if (!policy.matches_call ||
        policy.matches_call(s.parser.get().result_int(), s.parser.get().base()))
        co_return true;
    ++late_answers_;
    s.parser.eager(true);
    while (!s.parser.is_done())
    {
        s.parse_received(fault);
        if (fault)
            co_return http_error::lost;
        if (s.parser.is_done())
            break;
        fault = co_await s.receive(policy.timeout);
        if (fault)
            co_return lost_by(fault == beast::error::timeout);
    }
    co_return false;
}

net::awaitable<http_result<http_stream>> http_client::open(
    state::endpoint to, http_request what, state::duration timeout, connection_use use)
{
    call_policy policy;
    policy.timeout = timeout;
    policy.use = use;
    co_return co_await open(std::move(to), std::move(what), std::move(policy));
}

net::awaitable<http_result<http_stream>> http_client::open(
    state::endpoint to, http_request what, call_policy policy)
{
    auto const begun = now();
    auto c =
        policy.use == connection_use::reuse_idle ? take_kept(to, policy.max_idle_time) : nullptr;
    if (!c)
    {
        auto connected = co_await connect(to, std::min(policy.timeout, policy.connect_timeout));
        if (!connected)
            co_return connected.error();
        c = std::move(connected.value());
        if (policy.cancel && policy.cancel->cancelled())
            co_return http_error::connect_failed;
    }
    http::request<http::string_body> request;
    request.method_string(what.method);
    request.target(what.target);
    request.version(11);
    request.body() = std::move(what.body);
    request.set(http::field::host, to.host + ":" + std::to_string(to.port));
    if (!what.content_type.empty())
        request.set(http::field::content_type, what.content_type);
    for (auto const& [name, value] : what.headers)
    {
        if (beast::iequals(name, "Host"))
            request.set(http::field::host, value);
        else
            request.insert(name, value);
    }
    request.prepare_payload();

    if (policy.cancel)
        policy.cancel->bind(
            [weak = std::weak_ptr<connection>(c)]
            {
                if (auto const open = weak.lock())
                    open->close();
            });
    bool const request_without_answer_body = request.method() == http::verb::head;
    start_sending(c, std::move(request));
    for (int answers = 0; answers <= most_late_answers; ++answers)
    {
        auto s = std::make_unique<http_stream::state>(*this, c);
        s->parser.skip(request_without_answer_body);
        auto const left = policy.timeout - (now() - begun);
        if (left <= state::duration::zero())
            co_return http_error::timed_out;
        c->timeout.begin(left);
        auto const ours = co_await read_header(*s, policy);
        c->timeout.end();
        if (!ours)
            co_return ours.error();
        if (!ours.value())
        {
            s->connection.reset();
            continue;
        }
        s->parser.eager(true);
        s->cancel = policy.cancel;
        co_return http_stream{std::move(s)};
    }
    co_return http_error::lost;
}

net::awaitable<http_result<http_response>> http_client::call(
    state::endpoint to, http_request what, state::duration timeout, connection_use use)
{
    auto opened = co_await open(std::move(to), std::move(what), timeout, use);
    if (!opened)
        co_return opened.error();
    auto& stream = opened.value();
    http_response reply;
    reply.status = stream.status();
    reply.headers = stream.headers();
    auto rest = co_await stream.read_rest(whole_body_limit_bytes, timeout);
    if (!rest)
        co_return rest.error();
    reply.body = std::move(rest.value());
    co_return std::move(reply);
}

} // namespace auburnweir::transport
