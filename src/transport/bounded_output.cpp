#include "transport/bounded_output.hpp"

#include <poll.h>
#include <unistd.h>

namespace auburnweir::transport
{

namespace
{

/// Lines that wait beyond this are dropped, in bytes.
constexpr std::size_t most_waiting = 256 * 1024;

/// Waiting lines are written from this size on, in bytes; one system call carries many lines.
constexpr std::size_t write_size = 4096;

/// Largest write to a pipe that takes whole or not at all, in bytes.
constexpr std::size_t atomic_write = 4096;

/// True when a write to standard output would not block. The descriptor may be shared with other
/// processes, so it is not switched to non-blocking mode.
bool takes_more()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

void bounded_output_sink::sink_it_(spdlog::details::log_msg const& message)
{
    if (waiting_.size() > most_waiting)
    {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    waiting_.append(line.data(), line.size());
    if (waiting_.size() >= write_size)
        flush_();
}

void bounded_output_sink::flush_()
{
    std::size_t written = 0;
    while (written < waiting_.size() && takes_more())
    {
        auto const part = std::min(waiting_.size() - written, atomic_write);
        auto const got = ::write(STDOUT_FILENO, waiting_.data() + written, part);
        if (got <= 0)
            break;
        written += static_cast<std::size_t>(got);
    }
    waiting_.erase(0, written);
}

std::shared_ptr<bounded_output_sink> const& bounded_output()
{
    static auto const sink = std::make_shared<bounded_output_sink>();
    return sink;
}

} // namespace auburnweir::transport
