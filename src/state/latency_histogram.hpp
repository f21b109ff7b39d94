#ifndef AUBURNWEIR_STATE_LATENCY_HISTOGRAM_HPP
#define AUBURNWEIR_STATE_LATENCY_HISTOGRAM_HPP

#include "state/time.hpp"
#include "state/version_evidence.hpp"

#include <atomic>
#include <cstdint>

namespace auburnweir::state
{

/// Histogram over the classes of `latency_class`. Thread-safe, lock-free.
class latency_histogram
{
public:
    void record(duration latency)
    {
        auto const seconds = std::chrono::duration<double>(latency).count();
        classes_[latency_class(seconds)].fetch_add(1, std::memory_order_relaxed);
        sum_us_.fetch_add(static_cast<std::uint64_t>(latency.count()), std::memory_order_relaxed);
    }

    std::uint64_t count(std::size_t latency_class) const
    {
        return classes_[latency_class].load(std::memory_order_relaxed);
    }

    double sum_seconds() const
    {
        return static_cast<double>(sum_us_.load(std::memory_order_relaxed)) / 1e6;
    }

private:
    std::array<std::atomic<std::uint64_t>, latency_class_count> classes_{};
    std::atomic<std::uint64_t> sum_us_{0};
};

} // namespace auburnweir::state

#endif
