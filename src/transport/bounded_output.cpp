#include "transport/bounded_output.hpp"

#include <poll.h>
#include <unistd.h>

namespace auburnweir::transport
{

namespace
{

/// A line is dropped while the buffer is larger than this.
constexpr std::size_t max_buffered_bytes = 256 * 1024;

/// Buffer size at which lines are written; one system call then writes many lines.
constexpr std::size_t write_threshold_bytes = 4096;

/// Largest write that a pipe accepts either completely or not at all.
constexpr std::size_t max_atomic_write_bytes = 4096;

/// True when a write to standard output would not block. The descriptor may be shared with other
/// processes, so it is not switched to non-blocking mode.
bool output_is_writable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

void bounded_output_sink::sink_it_(spdlog::details::log_msg const& message)
{
    if (buffer_.size() > max_buffered_bytes)
    {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    buffer_.append(line.data(), line.size());
    if (buffer_.size() >= write_threshold_bytes)
        flush_();
}

void bounded_output_sink::flush_()
{
    std::size_t written = 0;
    while (written < buffer_.size() && output_is_writable())
    {
        auto const size = std::min(buffer_.size() - written, max_atomic_write_bytes);
        auto const result = ::write(STDOUT_FILENO, buffer_.data() + written, size);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    buffer_.erase(0, written);
}

std::shared_ptr<bounded_output_sink> const& bounded_output()
{
    static auto const sink = std::make_shared<bounded_output_sink>();
    return sink;
}

} // namespace auburnweir::transport
