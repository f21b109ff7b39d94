#include "transport/http_client.hpp"

#include "protocol/status_line.hpp"
#include "transport/http_connection.hpp"

#include <algorithm>
#include <charconv>

namespace auburnweir::transport
{

namespace
{

constexpr auto read_buffer_bytes = http_connection::read_buffer_bytes;
constexpr auto max_header_bytes = http_connection::max_header_bytes;

/// Size limit of a response that `call` buffers. The platform's largest has some 1.4 MB.
constexpr state::byte_count max_called_body{4LL * 1024 * 1024};

/// Limits of a body that is read only to use its connection again.
constexpr state::byte_count max_discarded_body{16LL * 1024};
constexpr state::duration max_discard_time = std::chrono::milliseconds{20};

/// Completion token that stores the error in `error` instead of throwing.
auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

http_error error_for(bool timed_out)
{
    return timed_out ? http_error::timed_out : http_error::response_lost;
}

/// Hosts acknowledge what they receive within a round trip, also while the server is silent; this
/// is longer than one between regions with a packet lost.
constexpr state::duration max_acknowledgement_time = std::chrono::milliseconds{500};

/// Share of the idle time that the server announces in which a connection is still used.
constexpr double usable_idle_share = 0.5;

/// Late and interim responses that are read and dropped before the call counts as lost.
constexpr int max_dropped_responses = 3;

constexpr int first_final_status = 200;

/// After the end of a response without a length, how long a reset is waited for that the server
/// sends right after its FIN, as one does that stops without having read the whole request. Longer
/// than a round trip between failure domains.
constexpr state::duration max_reset_delay = std::chrono::milliseconds{10};

/// Only responses to requests with a longer body wait for a reset, so that most streams end without
/// a delay. A server that closes without having read a shorter one sends a reset in place of the
/// FIN: the body fits the half of its receive buffer (128 KiB by default) that it announces.
constexpr std::size_t max_body_without_delay = std::size_t{64} * 1024;

/// How long an idle connection may be used: from `Keep-Alive: timeout=N`, or an hour without it.
state::duration max_idle_time_from(http_fields const& headers)
{
    constexpr std::string_view parameter = "timeout=";
    auto const value = headers[http::field::keep_alive];
    std::string_view const text{value.data(), value.size()};
    auto const at = text.find(parameter);
    if (at == std::string_view::npos)
        return std::chrono::hours{1};
    double seconds = 0;
    auto const* begin = text.data() + at + parameter.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc{})
        return std::chrono::hours{1};
    return std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>(seconds * usable_idle_share));
}

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether the header began as that of a response that broke off and goes on as the next one's.
bool is_joined_from_two(http::response_header<> const& header)
{
    return protocol::contains_status_line(view_of(header.reason())) ||
           std::ranges::any_of(
               header, [](auto const& field)
               { return protocol::contains_status_line(view_of(field.value())); });
}

} // namespace

struct http_stream::state
{
    state(http_client& owner, http_connection_ptr c)
        : client(owner)
        , connection(std::move(c))
        , requested_at(connection->requested_at)
    {
        parser.header_limit(max_header_bytes);
        parser.body_limit(UINT64_MAX);
    }

    ~state()
    {
        if (cancel)
            cancel->set_handler(nullptr);
        if (connection && connection->write_pending)
            connection->close();
    }

    http_client& client;
    http_connection_ptr connection;
    auburnweir::state::time_point requested_at;
    std::shared_ptr<call_cancellation> cancel;
    http::response_parser<http::buffer_body> parser;
    std::array<char, read_buffer_bytes> bytes{};
    bool may_reuse_connection = true;
    bool is_own = false; ///< the connection is for this call alone

    /// Parses the received data and stores body bytes in `bytes`. @return their number
    std::size_t parse_received(error_code& error);

    /// Waits for bytes and appends them to the connection's buffer. This takes one wait and one
    /// system call; the library's composed read makes two calls and dispatches several handlers.
    net::awaitable<error_code> receive(auburnweir::state::duration timeout);

    /// At the end of a connection that ends a body: whether it shows that the body is complete.
    net::awaitable<bool> has_proven_end();

    /// After the last byte: the connection if later calls may use it; else closes it.
    http_connection_ptr take_connection()
    {
        if (cancel)
            cancel->set_handler(nullptr);
        bool const reusable = connection && may_reuse_connection && parser.is_done() &&
                              parser.keep_alive() && !connection->write_pending &&
                              connection->buffer.size() == 0;
        if (reusable)
            connection->max_idle_time = max_idle_time_from(parser.get().base());
        else if (connection && is_own)
            connection->abort();
        else if (connection)
            connection->close();
        auto taken = std::exchange(connection, nullptr);
        return reusable ? std::move(taken) : nullptr;
    }

    /// Returns the connection to the pool after the last byte, or closes it.
    void return_connection()
    {
        if (auto taken = take_connection())
            client.idle().store(std::move(taken));
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

auburnweir::state::body_framing http_stream::framing() const
{
    using auburnweir::state::body_framing;
    if (state_->parser.need_eof())
        return body_framing::connection;
    return state_->parser.chunked() ? body_framing::chunks : body_framing::length;
}

std::size_t http_stream::state::parse_received(error_code& error)
{
    auto& body = parser.get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    auto& buffer = connection->buffer;
    error = {};
    while (buffer.size() > 0 && !parser.is_done() && !error)
        buffer.consume(parser.put(buffer.data(), error));
    bool const wants_more = error == http::error::need_more || error == http::error::need_buffer;
    if (wants_more)
        error = {};
    return bytes.size() - parser.get().body().size;
}

net::awaitable<error_code> http_stream::state::receive(auburnweir::state::duration timeout)
{
    auto& c = *connection;
    error_code error;
    c.timeout.begin(timeout);
    co_await c.stream.socket().async_wait(tcp::socket::wait_read, redirect_error_to(error));
    if (c.timeout.end())
        co_return beast::error::timeout;
    if (error)
        co_return error;
    // A full buffer holds the start of something without end, for example of a chunk's header.
    auto const free = c.buffer.max_size() - c.buffer.size();
    if (free == 0)
        co_return http::error::buffer_overflow;
    auto const space = c.buffer.prepare(std::min(read_buffer_bytes, free));
    auto const received =
        ::recv(c.stream.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (received > 0)
        c.buffer.commit(static_cast<std::size_t>(received));
    else if (received == 0)
        error = net::error::eof;
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        error = net::error::connection_reset; // unlike eof, it ends no response without a length
    co_return error;
}

net::awaitable<bool> http_stream::state::has_proven_end()
{
    if (!connection->has_orderly_end())
        co_return false;
    if (connection->request_body_bytes <= max_body_without_delay)
        co_return true;
    net::steady_timer timer(connection->stream.get_executor(), max_reset_delay);
    error_code ignored;
    co_await timer.async_wait(redirect_error_to(ignored));
    co_return connection->has_orderly_end();
}

net::awaitable<http_result<std::string_view>> http_stream::read(auburnweir::state::duration timeout)
{
    auto& s = *state_;
    while (!s.parser.is_done())
    {
        error_code error;
        auto const received = s.parse_received(error);
        if (error)
            co_return http_error::response_lost;
        if (received > 0)
            co_return std::string_view{s.bytes.data(), received};
        if (s.parser.is_done())
            break;
        error = co_await s.receive(timeout);
        if (error == net::error::eof && s.parser.need_eof() && !co_await s.has_proven_end())
            co_return http_error::response_lost;
        if (error == net::error::eof)
            s.parser.put_eof(error);
        if (error)
            co_return error_for(error == beast::error::timeout);
    }
    co_return std::string_view{};
}

void http_stream::keep_connection()
{
    state_->return_connection();
}

http_connection_ptr http_stream::take_connection()
{
    return state_->take_connection();
}

auburnweir::state::time_point http_stream::requested_at() const
{
    return state_->requested_at;
}

net::awaitable<http_result<std::string>> http_stream::read_rest(body_limits limits)
{
    auto body = co_await read_body(limits);
    if (body)
        keep_connection();
    co_return body;
}

net::awaitable<http_result<std::string>> http_stream::read_body(body_limits limits)
{
    auto const deadline = now() + limits.timeout;
    std::string body;
    for (;;)
    {
        auto const left = deadline - now();
        if (left <= auburnweir::state::duration::zero())
            co_return http_error::timed_out;
        auto const chunk = co_await read(left);
        if (!chunk)
            co_return chunk.error();
        if (chunk.value().empty())
            co_return body;
        auto const size = body.size() + chunk.value().size();
        if (size > static_cast<std::size_t>(limits.size.count()))
            co_return http_error::too_large;
        if (size > body.capacity())
        {
            auto const capacity = std::max(size, 2 * body.capacity());
            auto const charged = auburnweir::state::charged_bytes(capacity);
            if (limits.memory && !limits.memory->try_resize_fairly(charged))
                co_return http_error::out_of_memory;
            body.reserve(capacity);
        }
        body.append(chunk.value());
    }
}

void http_stream::record_refusal(auburnweir::state::request_id const& request)
{
    auto& refused = state_->connection->refused;
    refused.add(request);
    if (!refused.is_full())
        return;
    state_->may_reuse_connection = false;
    ++state_->client.connections_full_of_refusals_;
}

net::awaitable<void> http_stream::discard_rest()
{
    body_limits limits;
    limits.size = max_discarded_body;
    limits.timeout = max_discard_time;
    (void)co_await read_rest(limits);
}

http_client::http_client(net::io_context& io)
    : io_(io)
{
}

http_client::~http_client() = default;

net::awaitable<connect_result> http_client::connect(state::endpoint to, state::duration timeout)
{
    connect_result result;
    auto c = std::make_shared<http_connection>(io_, to);
    tcp::endpoint const address{net::ip::make_address(to.host, result.error), to.port};
    if (result.error)
        co_return result;
    c->timeout.begin(timeout);
    co_await c->stream.async_connect(address, redirect_error_to(result.error));
    c->timeout.end();
    if (result.error)
        co_return result;
    ++connections_opened_;
    error_code ignored;
    c->stream.socket().set_option(tcp::no_delay(true), ignored);
    c->opened_at = now();
    result.connection = std::move(c);
    co_return result;
}

net::awaitable<bool> http_client::can_connect(state::endpoint to, state::duration timeout)
{
    auto const opened = co_await connect(std::move(to), timeout);
    co_return opened.connection != nullptr;
}

void http_client::start_write(http_connection_ptr c, http::request<http::string_body> request)
{
    // Not awaited before the read: a response may arrive before the request is completely written.
    c->write_pending = true;
    auto message = std::make_shared<http::request<http::string_body>>(std::move(request));
    http::async_write(
        c->stream, *message,
        [c, message](error_code error, std::size_t)
        {
            // After an error the flag stays set, so that the connection is not reused.
            if (!error)
                c->write_pending = false;
        });
}

struct http_client::acknowledgement_watch
{
    net::steady_timer timer;
    std::function<void()> on_unacknowledged;
};

std::shared_ptr<http_client::acknowledgement_watch> http_client::watch_acknowledgement(
    http_connection_ptr const& c, std::function<void()> on_unacknowledged)
{
    if (!on_unacknowledged)
        return nullptr;
    auto const watch = std::make_shared<acknowledgement_watch>(acknowledgement_watch{
        net::steady_timer(io_, max_acknowledgement_time), std::move(on_unacknowledged)});
    watch->timer.async_wait(
        [watched = std::weak_ptr(watch), connection = std::weak_ptr(c)](error_code error)
        {
            auto const w = watched.lock();
            auto const open = connection.lock();
            if (!error && w && open && open->has_undelivered_bytes())
                w->on_unacknowledged();
        });
    return watch;
}

net::awaitable<http_result<response_owner>> http_client::read_header(
    http_stream::state& s, call_policy const& policy, state::time_point deadline)
{
    auto& c = *s.connection;
    error_code error;
    c.timeout.begin(deadline - now());
    co_await http::async_read_header(c.stream, c.buffer, s.parser, redirect_error_to(error));
    bool const timed_out = c.timeout.end();
    auto const status = static_cast<int>(s.parser.get().result_int());
    // The parser accepts any three digits.
    if (error == http::error::bad_status || (!error && !protocol::is_valid_status(status)))
        co_return http_error::response_lost;
    if (error)
        co_return error_for(timed_out);
    if (is_joined_from_two(s.parser.get()))
        co_return http_error::response_lost;
    if (status < first_final_status)
        co_return response_owner::earlier_call;
    auto owner = response_owner::this_call;
    if (policy.owner_of)
        owner = policy.owner_of(status, s.parser.get().base());
    if (owner == response_owner::unknown)
        co_return http_error::response_lost;
    if (owner != response_owner::earlier_call)
        co_return owner;
    ++late_responses_;
    s.parser.eager(true);
    while (!s.parser.is_done())
    {
        s.parse_received(error);
        if (error)
            co_return http_error::response_lost;
        if (s.parser.is_done())
            break;
        auto const left = deadline - now();
        if (left <= state::duration::zero())
            co_return http_error::timed_out;
        error = co_await s.receive(left);
        if (error)
            co_return error_for(error == beast::error::timeout);
    }
    co_return response_owner::earlier_call;
}

net::awaitable<http_result<http_stream>> http_client::open(
    state::endpoint to, http_request request, state::duration timeout, connection_use use)
{
    call_policy policy;
    policy.header_timeout = timeout;
    policy.use = use;
    co_return co_await open(std::move(to), std::move(request), std::move(policy));
}

net::awaitable<http_result<http_stream>> http_client::open(
    state::endpoint to, http_request request, call_policy policy)
{
    auto const deadline = now() + policy.header_timeout;
    auto c = policy.use == connection_use::reuse_idle
                 ? pool_.take(to, policy.max_idle_time, policy.request)
                 : nullptr;
    if (!c)
    {
        auto connected =
            co_await connect(to, std::min(policy.header_timeout, policy.connect_timeout));
        if (!connected.connection)
            co_return http_error::connect_failed;
        c = std::move(connected.connection);
        if (policy.cancel && policy.cancel->cancelled())
            co_return http_error::connect_failed;
    }
    co_return co_await exchange(std::move(c), std::move(request), std::move(policy), deadline);
}

net::awaitable<http_result<http_stream>> http_client::open_on(
    http_connection_ptr c, http_request request, call_policy policy)
{
    auto const deadline = now() + policy.header_timeout;
    co_return co_await exchange(std::move(c), std::move(request), std::move(policy), deadline);
}

net::awaitable<http_result<http_stream>> http_client::exchange(
    http_connection_ptr c, http_request request, call_policy policy, state::time_point deadline)
{
    auto const& to = c->address;
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.body() = std::move(request.body);
    message.set(http::field::host, to.host + ":" + std::to_string(to.port));
    if (!request.content_type.empty())
        message.set(http::field::content_type, request.content_type);
    for (auto const& [name, value] : request.headers)
    {
        if (beast::iequals(name, "Host"))
            message.set(http::field::host, value);
        else
            message.insert(name, value);
    }
    message.prepare_payload();

    if (policy.cancel)
        policy.cancel->set_handler(
            [weak = std::weak_ptr<http_connection>(c)]
            {
                if (auto const open = weak.lock())
                    open->close();
            });
    bool const response_has_no_body = message.method() == http::verb::head;
    c->request_body_bytes = message.body().size();
    c->requested_at = now();
    ++c->requests;
    if (policy.used_connection)
        *policy.used_connection = {c->local_port(), c->requests};
    start_write(c, std::move(message));
    auto const acknowledgement = watch_acknowledgement(c, policy.on_unacknowledged);
    for (int dropped = 0; dropped <= max_dropped_responses; ++dropped)
    {
        auto s = std::make_unique<http_stream::state>(*this, c);
        s->parser.skip(response_has_no_body);
        if (now() >= deadline)
            co_return http_error::timed_out;
        auto const owner = co_await read_header(*s, policy, deadline);
        if (!owner)
            co_return owner.error();
        if (owner.value() == response_owner::earlier_call)
        {
            s->connection.reset();
            continue;
        }
        s->is_own = policy.use == connection_use::own_connection;
        s->may_reuse_connection = owner.value() == response_owner::this_call && !s->is_own;
        s->parser.eager(true);
        s->cancel = policy.cancel;
        co_return http_stream{std::move(s)};
    }
    co_return http_error::response_lost;
}

net::awaitable<http_result<http_response>> http_client::call(
    state::endpoint to, http_request request, state::duration timeout, connection_use use)
{
    auto opened = co_await open(std::move(to), std::move(request), timeout, use);
    if (!opened)
        co_return opened.error();
    auto& stream = opened.value();
    http_response response;
    response.status = stream.status();
    response.headers = stream.headers();
    response.framing = stream.framing();
    body_limits limits;
    limits.size = max_called_body;
    limits.timeout = timeout;
    auto rest = co_await stream.read_rest(limits);
    if (!rest)
        co_return rest.error();
    response.body = std::move(rest.value());
    co_return std::move(response);
}

} // namespace auburnweir::transport
