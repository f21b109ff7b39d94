#ifndef AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP
#define AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP

#include "state/configuration.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"

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

/// How a call to a backend server or to the platform failed.
enum class http_error
{
    connect_failed, ///< nothing was sent
    lost,           ///< sent in whole or in part, and no whole answer came
    timed_out,      ///< as `lost`, by silence
    too_large       ///< the answer is larger than allowed
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
    http_headers headers; ///< a `Host` here goes before the endpoint's own
    std::string body;
};

struct http_response
{
    int status = 0;
    http_fields headers;
    std::string body;
};

/// Whether a kept connection may be used. A kept one may have been closed by the other side,
/// which leaves open whether the call was taken; calls that must not be repeated go on a new one.
enum class connection_use
{
    reuse_idle,
    new_connection
};

/// Ends a call from outside, as when its caller leaves. Not thread-safe: one worker's.
class call_cancellation
{
public:
    void cancel()
    {
        cancelled_ = true;
        if (hook_)
            hook_();
    }

    bool cancelled() const { return cancelled_; }

    /// Replaces what `cancel` does.
    void bind(std::function<void()> hook)
    {
        hook_ = std::move(hook);
        if (cancelled_ && hook_)
            hook_();
    }

private:
    std::function<void()> hook_;
    bool cancelled_ = false;
};

/// How a call is made.
struct call_policy
{
    auburnweir::state::duration timeout = std::chrono::hours{1}; ///< to the answer's header
    auburnweir::state::duration connect_timeout = std::chrono::hours{1};
    connection_use use = connection_use::reuse_idle;

    /// A kept connection that was idle for longer is not used.
    auburnweir::state::duration max_idle_time = std::chrono::hours{1};

    /// Tells the call's answer from a late one to an earlier call; late ones are dropped.
    std::function<bool(int status, http_fields const&)> matches_call;

    std::shared_ptr<call_cancellation> cancel;
};

/// An answer that is read as it comes. Destruction closes the connection unless the answer was
/// read to its end; the backend server sees that as a cancelled request.
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

    /// The next bytes; empty at the end. They hold until the next call.
    net::awaitable<http_result<std::string_view>> read(auburnweir::state::duration timeout);

    /// Reads the rest as one text of at most `most` bytes.
    net::awaitable<http_result<std::string>> read_rest(
        std::size_t most, auburnweir::state::duration timeout);

private:
    std::unique_ptr<state> state_;
};

/// HTTP/1.1 client of one worker, with a pool of kept connections. Not thread-safe.
class http_client
{
public:
    explicit http_client(net::io_context& io);
    ~http_client();

    /// Sends a call and reads the whole answer.
    net::awaitable<http_result<http_response>> call(
        auburnweir::state::endpoint to, http_request what, auburnweir::state::duration timeout,
        connection_use use = connection_use::reuse_idle);

    /// Sends a call and reads the answer's header.
    net::awaitable<http_result<http_stream>> open(
        auburnweir::state::endpoint to, http_request what, auburnweir::state::duration timeout,
        connection_use use = connection_use::reuse_idle);

    net::awaitable<http_result<http_stream>> open(
        auburnweir::state::endpoint to, http_request what, call_policy policy);

    /// Closes kept connections that nobody may use again.
    void drop_kept(auburnweir::state::endpoint const& to);

    /// Connections opened and answers dropped as late since the start.
    std::uint64_t connections_opened() const { return connections_opened_; }
    std::uint64_t late_responses() const { return late_answers_; }

private:
    friend class http_stream;
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    net::awaitable<http_result<connection_ptr>> connect(
        auburnweir::state::endpoint to, auburnweir::state::duration timeout);
    connection_ptr take_kept(
        auburnweir::state::endpoint const& to, auburnweir::state::duration max_idle_time);
    void keep(connection_ptr c);
    void start_sending(connection_ptr c, http::request<http::string_body> request);
    net::awaitable<http_result<bool>> read_header(http_stream::state& s, call_policy const& policy);

    net::io_context& io_;
    std::uint64_t connections_opened_ = 0;
    std::uint64_t late_answers_ = 0;
    std::map<auburnweir::state::endpoint, std::vector<connection_ptr>> kept_;
};

} // namespace auburnweir::transport

#endif
