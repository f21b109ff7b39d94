#include "transport/connection_end.hpp"

#include "transport/clock.hpp"

#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace auburnweir::transport
{

namespace
{

/// Time for which the rest of an unread request is read after the response, so that closing does
/// not reset the connection before the caller has read the response.
constexpr state::duration max_linger_time = std::chrono::milliseconds{1000};

constexpr std::size_t max_lingering_bytes = 8 * 1024 * 1024;

auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

/// Whether the caller's kernel has not acknowledged all that was sent.
bool has_undelivered_bytes(beast::tcp_stream& stream)
{
    int bytes = 0;
    bool const known = ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0;
    return known && bytes > 0;
}

} // namespace

net::awaitable<void> end_connection(
    beast::tcp_stream& stream, response_writer const& writer, beast::flat_buffer& unread,
    state::duration max_delivery_time)
{
    error_code error;
    if (writer.resets_connection())
    {
        stream.socket().close(error);
        co_return;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    io_timeout read_timeout(stream);
    std::size_t bytes_read = unread.size();
    unread.consume(unread.size());
    auto const ended_at = now();
    auto until = ended_at + max_linger_time;
    while (!error && bytes_read < max_lingering_bytes)
    {
        auto const left = until - now();
        if (left <= state::duration::zero())
            break;
        read_timeout.begin(left);
        std::array<char, 4096> chunk;
        bytes_read +=
            co_await stream.socket().async_read_some(net::buffer(chunk), redirect_error_to(error));
        bool const expired = read_timeout.end();
        bool const waits_on =
            expired && has_undelivered_bytes(stream) && now() - ended_at < max_delivery_time;
        if (!waits_on)
            continue;
        error = {};
        until = now() + max_linger_time;
    }
    stream.socket().close(error);
}

} // namespace auburnweir::transport
