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

/// Log lines on their way to standard output: bounded, and never blocking the one who logs.
class bounded_output_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
    void sink_it_(spdlog::details::log_msg const& message) override;
    void flush_() override;

    std::string waiting_;
    std::atomic<std::uint64_t> dropped_{0};
};

/// The process's one sink.
std::shared_ptr<bounded_output_sink> const& bounded_output();

} // namespace auburnweir::transport

#endif
