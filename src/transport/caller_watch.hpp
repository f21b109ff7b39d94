#ifndef AUBURNWEIR_TRANSPORT_CALLER_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_WATCH_HPP

#include "transport/asio.hpp"
#include "transport/http_client.hpp"

#include <memory>

namespace auburnweir::transport
{

/// Cancels a call when its caller closes the connection before it has the response.
class caller_watch
{
public:
    caller_watch(tcp::socket& socket, std::shared_ptr<call_cancellation> cancel)
        : watched_(std::make_shared<watched>(watched{&socket, std::move(cancel), false}))
    {
        watch(watched_);
    }

    caller_watch(caller_watch const&) = delete;
    caller_watch& operator=(caller_watch const&) = delete;

    ~caller_watch()
    {
        error_code ignored;
        if (watched_->socket->is_open())
            watched_->socket->cancel(ignored);
        watched_->socket = nullptr;
    }

    bool caller_left() const { return watched_->left; }

private:
    struct watched
    {
        tcp::socket* socket;
        std::shared_ptr<call_cancellation> cancel;
        bool left;
    };

    static void watch(std::shared_ptr<watched> const& w)
    {
        w->socket->async_wait(
            tcp::socket::wait_read,
            [w](error_code error)
            {
                if (error || !w->socket)
                    return;
                char byte = 0;
                auto const count =
                    ::recv(w->socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                bool const spurious = count < 0 && (errno == EAGAIN || errno == EINTR);
                if (spurious)
                    return watch(w);
                // Bytes of the next request hide a later close; the write of the response
                // detects it.
                if (count > 0)
                    return;
                w->left = true;
                w->cancel->cancel();
            });
    }

    std::shared_ptr<watched> watched_;
};

} // namespace auburnweir::transport

#endif
