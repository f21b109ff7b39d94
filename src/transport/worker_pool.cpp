#include "transport/worker_pool.hpp"

#include "transport/log.hpp"
#include "transport/replica_feed.hpp"

namespace auburnweir::transport
{

namespace
{

/// Runs an event loop until it is stopped; an exception from a handler does not end it.
void run_loop(net::io_context& io)
{
    for (;;)
    {
        try
        {
            io.run();
            return;
        }
        catch (std::exception const& error)
        {
            log(log_event::handler_failed, {{"reason", error.what()}});
        }
    }
}

} // namespace

worker::worker(std::size_t index, std::uint64_t seed)
    : index_(index)
    , random_(seed + index)
    , feeds_(std::make_unique<replica_feeds>())
{
}

worker::~worker() = default;

worker_pool::worker_pool(std::size_t size, std::uint64_t seed)
    : parallelism_(oneapi::tbb::global_control::max_allowed_parallelism, size + 1)
    , arena_(static_cast<int>(size), 0)
    , ended_(static_cast<std::ptrdiff_t>(size))
{
    for (std::size_t i = 0; i < size; ++i)
    {
        workers_.push_back(std::make_unique<worker>(i, seed));
        guards_.push_back(net::make_work_guard(workers_.back()->io()));
    }
}

worker_pool::~worker_pool()
{
    stop();
    if (started_)
        join();
}

void worker_pool::start()
{
    started_ = true;
    for (auto& w : workers_)
        arena_.enqueue(
            [this, &io = w->io()]
            {
                run_loop(io);
                ended_.count_down();
            });
}

void worker_pool::stop()
{
    for (auto& w : workers_)
        w->io().stop();
}

void worker_pool::join()
{
    ended_.wait();
}

worker& worker_pool::next()
{
    return *workers_[next_++ % workers_.size()];
}

} // namespace auburnweir::transport
