#ifndef AUBURNWEIR_TRANSPORT_IO_TIMEOUT_HPP
#define AUBURNWEIR_TRANSPORT_IO_TIMEOUT_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <memory>

namespace auburnweir::transport
{

/// Cancels an operation of a stream that takes too long, and leaves the stream open.
///
/// The stream's own timeout would close the stream, so that no error could be sent to the caller,
/// and would arm a timer for each operation. This class uses one timer for many operations and arms
/// it again only when it fires before the deadline.
class io_timeout
{
public:
    explicit io_timeout(beast::tcp_stream& stream)
        : shared_(std::make_shared<shared_state>(stream))
    {
        stream.expires_never();
    }

    io_timeout(io_timeout const&) = delete;
    io_timeout& operator=(io_timeout const&) = delete;

    ~io_timeout()
    {
        shared_->stream = nullptr;
        shared_->timer.cancel();
    }

    /// Starts the timeout of the next operation.
    void begin(state::duration timeout)
    {
        shared_->expired = false;
        shared_->active = true;
        shared_->deadline = clock::now() + timeout;
        if (!shared_->armed || shared_->deadline < shared_->timer.expiry())
            arm(shared_);
    }

    /// Ends the timeout after the operation. @return true when the operation was cancelled
    bool end()
    {
        shared_->active = false;
        return shared_->expired;
    }

private:
    using clock = net::steady_timer::clock_type;

    struct shared_state
    {
        explicit shared_state(beast::tcp_stream& s)
            : stream(&s)
            , timer(s.get_executor())
        {
        }

        beast::tcp_stream* stream;
        net::steady_timer timer;
        clock::time_point deadline;
        bool active = false;
        bool expired = false;
        bool armed = false;
    };

    static void arm(std::shared_ptr<shared_state> const& s)
    {
        s->armed = true;
        s->timer.expires_at(s->deadline);
        s->timer.async_wait(
            [s](error_code error)
            {
                if (error || !s->stream)
                    return;
                s->armed = false;
                if (!s->active)
                    return;
                if (clock::now() < s->deadline)
                    return arm(s);
                s->expired = true;
                s->stream->cancel();
            });
    }

    std::shared_ptr<shared_state> shared_;
};

} // namespace auburnweir::transport

#endif
