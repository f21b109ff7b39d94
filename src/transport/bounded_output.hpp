#ifndef AUBURNWEIR_TRANSPORT_BOUNDED_OUTPUT_HPP
#define AUBURNWEIR_TRANSPORT_BOUNDED_OUTPUT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace auburnweir::transport
{

/// Log sink that writes to standard output through a bounded buffer and never blocks the thread
/// that logs. Lines that do not fit are dropped and counted.
class bounded_output_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// Number of dropped lines since the start.
    std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
    void sink_it_(spdlog::details::log_msg const& message) override;
    void flush_() override;

    std::string buffer_;
    std::atomic<std::uint64_t> dropped_{0};
};

/// The sink that the whole process shares.
std::shared_ptr<bounded_output_sink> const& bounded_output();

} // namespace auburnweir::transport

#endif
