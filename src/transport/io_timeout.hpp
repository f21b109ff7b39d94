#ifndef AUBURNWEIR_TRANSPORT_IO_TIMEOUT_HPP
#define AUBURNWEIR_TRANSPORT_IO_TIMEOUT_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <memory>

namespace auburnweir::transport
{

/// Interrupts a stream's operation that takes too long, and leaves the stream open.
///
/// The stream's own timeout would close it, so that a caller could not be reported, and would arm a
/// timer for each operation. Here one timer serves many operations: it is armed again only when it
/// fires early.
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

    /// The next operation may take `length`.
    void begin(state::duration length)
    {
        shared_->passed = false;
        shared_->active = true;
        shared_->deadline = clock::now() + length;
        if (!shared_->armed || shared_->deadline < shared_->timer.expiry())
            arm(shared_);
    }

    /// The operation has ended. @return true when it was interrupted
    bool end()
    {
        shared_->active = false;
        return shared_->passed;
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
        bool passed = false;
        bool armed = false;
    };

    static void arm(std::shared_ptr<shared_state> const& s)
    {
        s->armed = true;
        s->timer.expires_at(s->deadline);
        s->timer.async_wait(
            [s](error_code fault)
            {
                if (fault || !s->stream)
                    return;
                s->armed = false;
                if (!s->active)
                    return;
                if (clock::now() < s->deadline)
                    return arm(s);
                s->passed = true;
                s->stream->cancel();
            });
    }

    std::shared_ptr<shared_state> shared_;
};

} // namespace auburnweir::transport

#endif
