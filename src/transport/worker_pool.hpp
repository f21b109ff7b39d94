#ifndef AUBURNWEIR_TRANSPORT_WORKER_POOL_HPP
#define AUBURNWEIR_TRANSPORT_WORKER_POOL_HPP

#include "transport/asio.hpp"
#include "transport/http_client.hpp"
#include "transport/liveness_checker.hpp"

#include <atomic>
#include <latch>
#include <memory>
#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>
#include <random>
#include <vector>

namespace auburnweir::transport
{

class replica_feeds;

/// The event loop of one thread, with its own HTTP connections and random numbers.
///
/// A session stays on the worker that accepted it, so its objects need no locks. Sessions share
/// only the tables, which have locks of their own.
class worker
{
public:
    worker(std::size_t index, std::uint64_t seed);
    ~worker();

    std::size_t index() const { return index_; }
    net::io_context& io() { return io_; }
    http_client& http() { return http_; }
    liveness_checker& liveness() { return liveness_; }
    std::mt19937_64& random() { return random_; }
    replica_feeds& feeds() { return *feeds_; }

private:
    std::size_t index_;
    net::io_context io_{1};
    http_client http_{io_};
    liveness_checker liveness_{io_, http_};
    std::mt19937_64 random_;
    std::unique_ptr<replica_feeds> feeds_;
};

/// Runs one event loop per thread in a oneTBB arena. Idle workers block in the kernel.
class worker_pool
{
public:
    /// @param seed  seed of the workers' random numbers
    worker_pool(std::size_t size, std::uint64_t seed);
    ~worker_pool();

    void start();

    /// Stops the event loops without waiting for them.
    void stop();

    /// Waits until all event loops have ended.
    void join();

    std::size_t size() const { return workers_.size(); }
    worker& at(std::size_t index) { return *workers_[index]; }

    /// Returns the workers in turn, to distribute new connections.
    worker& next();

private:
    using work_guard = net::executor_work_guard<net::io_context::executor_type>;

    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<work_guard> guards_;
    oneapi::tbb::global_control parallelism_;
    oneapi::tbb::task_arena arena_;
    std::latch ended_;
    std::atomic<std::size_t> next_{0};
    bool started_ = false;
};

} // namespace auburnweir::transport

#endif
