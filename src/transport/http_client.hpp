#ifndef AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP
#define AUBURNWEIR_TRANSPORT_HTTP_CLIENT_HPP

#include "state/configuration.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"

#include <boost/outcome/result.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnweir::transport
{

/// How a call to a backend server or to the platform failed.
enum class http_fault
{
    connect_failed, ///< nothing was sent
    lost,           ///< sent in whole or in part, and no whole answer came
    timed_out,      ///< as `lost`, by silence
    too_large       ///< the answer is larger than allowed
};

template <class T>
using http_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, http_fault>;

struct http_call
{
    std::string method = "GET";
    std::string target;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

using http_fields = http::fields;

struct http_reply
{
    int status = 0;
    http_fields headers;
    std::string body;
};

/// Whether a kept connection may be used. A kept one may have been closed by the other side,
/// which leaves open whether the call was taken; calls that must not be repeated go on a new one.
enum class connection_use
{
    kept,
    fresh
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
    net::awaitable<http_result<std::string_view>> read(auburnweir::state::duration limit);

    /// Reads the rest as one text of at most `most` bytes.
    net::awaitable<http_result<std::string>> read_rest(
        std::size_t most, auburnweir::state::duration limit);

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
    net::awaitable<http_result<http_reply>> call(
        auburnweir::state::endpoint to, http_call what, auburnweir::state::duration limit,
        connection_use use = connection_use::kept);

    /// Sends a call and reads the answer's header.
    net::awaitable<http_result<http_stream>> open(
        auburnweir::state::endpoint to, http_call what, auburnweir::state::duration limit,
        connection_use use = connection_use::kept);

private:
    friend class http_stream;
    struct connection;
    using connection_ptr = std::unique_ptr<connection>;

    net::awaitable<http_result<connection_ptr>> connect(
        auburnweir::state::endpoint to, auburnweir::state::duration limit);
    connection_ptr take_kept(auburnweir::state::endpoint const& to);
    void keep(connection_ptr c);

    net::io_context& io_;
    std::map<auburnweir::state::endpoint, std::vector<connection_ptr>> kept_;
};

} // namespace auburnweir::transport

#endif
