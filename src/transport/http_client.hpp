#ifndef AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP
#define AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP

#include "state/body_framing.hpp"
#include "state/memory_budget.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"
#include "transport/connection_pool.hpp"

#include <boost/outcome/result.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnweir::transport
{

/// How a call to a backend server, the platform or the store failed.
enum class http_error
{
    connect_failed, ///< nothing was sent
    response_lost,  ///< sent at least in part, without a complete response
    timed_out,      ///< as `response_lost`, because the timeout elapsed
    too_large,      ///< the response is larger than allowed
    out_of_memory   ///< the memory budget has no room for the rest of the response
};

template <class T>
using http_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, http_error>;

using http_fields = http::fields;
using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method = "GET";
    std::string target;
    std::string content_type;
    http_headers headers; ///< a `Host` in it replaces the endpoint's
    std::string body;
};

struct http_response
{
    int status = 0;
    http_fields headers;
    std::string body;

    /// What marked the body's end. If it is the connection's, the body may be the start of one
    /// whose server has died: the kernel closes the connections of a killed process with a FIN.
    state::body_framing framing = state::body_framing::length;

    bool ends_with_connection() const { return framing == state::body_framing::connection; }
};

/// Which connection a call uses. The server may have closed an idle connection, and then it is
/// unknown whether it accepted the call; calls that must not be retried use a new connection.
enum class connection_use
{
    reuse_idle,
    new_connection,
    /// As `new_connection`, and no other call uses it: for responses that name no call, where a
    /// copy of one would be taken for the response to the next.
    own_connection
};

/// Cancels a call, for example when its caller disconnects. Not thread-safe: used by one worker
/// only.
class call_cancellation
{
public:
    void cancel()
    {
        cancelled_ = true;
        if (on_cancel_)
            on_cancel_();
    }

    bool cancelled() const { return cancelled_; }

    /// Replaces the handler that `cancel` calls; calls it at once after a cancellation.
    void set_handler(std::function<void()> on_cancel)
    {
        on_cancel_ = std::move(on_cancel);
        if (cancelled_ && on_cancel_)
            on_cancel_();
    }

private:
    std::function<void()> on_cancel_;
    bool cancelled_ = false;
};

/// Which call a response belongs to.
enum class response_owner : std::uint8_t
{
    this_call,
    /// The response names no call and is taken for this one's. Its connection is not used again, as
    /// a copy of it would be taken for the response to the next call.
    unnamed,
    earlier_call,
    unknown ///< the call counts as lost
};

/// A new connection, or why there is none.
struct connect_result
{
    http_connection_ptr connection; ///< null after an error
    error_code error;
};

/// The connection that a call used.
struct call_connection
{
    std::uint16_t local_port = 0; ///< 0: the call had no connection
    int requests = 0;             ///< on this connection so far, the call's own included
};

/// Timeouts, connection use and cancellation of a call.
struct call_policy
{
    /// From the start of the call to the response header; includes the time to connect.
    auburnweir::state::duration header_timeout = std::chrono::hours{1};
    auburnweir::state::duration connect_timeout = std::chrono::hours{1};
    connection_use use = connection_use::reuse_idle;

    /// A connection that has been idle for longer is not used.
    auburnweir::state::duration max_idle_time = std::chrono::hours{1};

    /// Name of the request. Connections on which it was refused before are not used; empty: none.
    auburnweir::state::request_id request;

    /// Tells late responses to earlier calls, which are dropped; empty: there are none.
    std::function<response_owner(int status, http_fields const&)> owner_of;

    std::shared_ptr<call_cancellation> cancel;

    /// Told once when the server's host has not acknowledged the request for some time, so that
    /// the link may be cut; the call goes on. Empty: not wanted.
    std::function<void()> on_unacknowledged;

    /// Set before the request is written; null: not wanted.
    call_connection* used_connection = nullptr;
};

/// Limits for reading the rest of a response's body.
struct body_limits
{
    state::byte_count size;
    /// For the whole body: bytes that keep arriving do not extend it.
    state::duration timeout{0};
    /// Charged with the buffered bytes; null: not charged.
    state::memory_reservation* memory = nullptr;
};

/// A response whose body is read while it arrives. Destruction closes the connection unless it is
/// kept; before the body's end, the backend server treats that as a cancelled request.
class http_stream
{
public:
    struct state;

    explicit http_stream(std::unique_ptr<state> s);
    http_stream(http_stream&&) noexcept;
    http_stream& operator=(http_stream&&) noexcept;
    ~http_stream();

    int status() const;
    http_fields const& headers() const;

    /// What marks the end of the body. If it is the connection's, a server that ends and a complete
    /// body look alike.
    auburnweir::state::body_framing framing() const;

    bool ends_with_connection() const
    {
        return framing() == auburnweir::state::body_framing::connection;
    }

    /// Reads the next bytes; empty at the end. They are valid until the next call.
    net::awaitable<http_result<std::string_view>> read(auburnweir::state::duration timeout);

    /// When the request was sent.
    auburnweir::state::time_point requested_at() const;

    /// Lets later calls use the connection; after the last byte only. A server whose body ended too
    /// early may still send the rest of it, so its connection is not kept.
    void keep_connection();

    /// Takes the connection for further calls, as `keep_connection` would keep it; null when it
    /// can't be used again.
    http_connection_ptr take_connection();

    /// Reads the rest of the body into memory.
    net::awaitable<http_result<std::string>> read_body(body_limits limits);

    /// The same, and keeps the connection after the body's end.
    net::awaitable<http_result<std::string>> read_rest(body_limits limits);

    /// Records that the response states that the request was not run. Another attempt of the
    /// request will not use this connection, where a copy of the response may follow.
    void record_refusal(auburnweir::state::request_id const& request);

    /// Reads and drops the rest of a short body, so that the connection can be used again. Closes
    /// the connection instead if the body is not complete soon.
    net::awaitable<void> discard_rest();

private:
    std::unique_ptr<state> state_;
};

/// HTTP/1.1 client of one worker, with a pool of idle connections. Not thread-safe.
class http_client
{
public:
    explicit http_client(net::io_context& io);
    ~http_client();

    /// Sends a request and reads the complete response. `timeout` applies to the header, and again
    /// to the whole body.
    net::awaitable<http_result<http_response>> call(
        auburnweir::state::endpoint to, http_request request, auburnweir::state::duration timeout,
        connection_use use = connection_use::reuse_idle);

    /// Sends a request and reads the response header.
    net::awaitable<http_result<http_stream>> open(
        auburnweir::state::endpoint to, http_request request, auburnweir::state::duration timeout,
        connection_use use = connection_use::reuse_idle);

    net::awaitable<http_result<http_stream>> open(
        auburnweir::state::endpoint to, http_request request, call_policy policy);

    /// Opens a connection that `open_on` uses.
    net::awaitable<connect_result> connect(
        auburnweir::state::endpoint to, auburnweir::state::duration timeout);

    /// As `open`, on a connection of the caller's. No other call uses it.
    net::awaitable<http_result<http_stream>> open_on(
        http_connection_ptr c, http_request request, call_policy policy);

    /// Whether a new connection to the endpoint can be opened. Sends nothing on it.
    net::awaitable<bool> can_connect(
        auburnweir::state::endpoint to, auburnweir::state::duration timeout);

    connection_pool& idle() { return pool_; }

    /// Number of connections closed since the last call, as too many requests were refused on them.
    std::uint64_t take_connections_full_of_refusals()
    {
        return std::exchange(connections_full_of_refusals_, 0);
    }

    /// Number of connections opened since the start.
    std::uint64_t connections_opened() const { return connections_opened_; }

    /// Number of late responses dropped since the start.
    std::uint64_t late_responses() const { return late_responses_; }

private:
    friend class http_stream;

    net::awaitable<http_result<http_stream>> exchange(
        http_connection_ptr c, http_request request, call_policy policy,
        auburnweir::state::time_point deadline);
    void start_write(http_connection_ptr c, http::request<http::string_body> request);

    struct acknowledgement_watch;

    /// Checks once whether the request on a connection is acknowledged, unless the watch is
    /// destroyed before.
    std::shared_ptr<acknowledgement_watch> watch_acknowledgement(
        http_connection_ptr const& c, std::function<void()> on_unacknowledged);

    /// Reads a response header.
    /// @return `earlier_call` also after an interim response; both were read and dropped
    net::awaitable<http_result<response_owner>> read_header(
        http_stream::state& s, call_policy const& policy, auburnweir::state::time_point deadline);

    net::io_context& io_;
    std::uint64_t connections_opened_ = 0;
    std::uint64_t late_responses_ = 0;
    std::uint64_t connections_full_of_refusals_ = 0;
    connection_pool pool_;
};

} // namespace auburnweir::transport

#endif
