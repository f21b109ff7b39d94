#include "support/process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace auburnweir::tests
{

namespace
{

constexpr int start_timeout_ms = 20000;
constexpr int poll_interval_ms = 10;
constexpr double bytes_per_kib = 1024;

struct child_process
{
    int pid;
    int output;
};

child_process spawn(std::vector<std::string>& command, bool capture_stderr)
{
    int pipe_fds[2];
    if (pipe2(pipe_fds, O_CLOEXEC) != 0)
        throw std::runtime_error("can't create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
    if (capture_stderr)
        posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDERR_FILENO);
    std::vector<char*> arguments;
    for (auto& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    int pid = -1;
    auto const error =
        posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_fds[1]);
    if (error != 0)
        throw std::runtime_error("can't start " + command[0]);
    return {pid, pipe_fds[0]};
}

/// Reads one line. @return the bytes before the end of the line, the end of the output, or a
/// silence of `timeout_ms`
std::string read_line(int fd, int timeout_ms)
{
    std::string line;
    char c = 0;
    pollfd poll_request{fd, POLLIN, 0};
    while (poll(&poll_request, 1, timeout_ms) > 0 && read(fd, &c, 1) == 1 && c != '\n')
        line += c;
    return line;
}

} // namespace

process::process(std::vector<std::string> command)
{
    auto const name = command[0];
    auto const child = spawn(command, false);
    pid_ = child.pid;
    output_ = child.output;
    std::istringstream words(read_line(output_, start_timeout_ms));
    std::string word;
    words >> word;
    if (word != "listening")
    {
        kill();
        throw std::runtime_error(name + " did not print its ports");
    }
    while (words >> word)
    {
        auto const equals = word.find('=');
        ports_[word.substr(0, equals)] =
            static_cast<std::uint16_t>(std::stoi(word.substr(equals + 1)));
    }
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1))
    , output_(std::exchange(other.output_, -1))
    , ports_(std::move(other.ports_))
    , output_thread_(std::move(other.output_thread_))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(ports_, other.ports_);
    std::swap(output_thread_, other.output_thread_);
    return *this;
}

process::~process()
{
    kill();
    if (output_thread_.joinable())
        output_thread_.join();
    if (output_ >= 0)
        close(output_);
}

bool process::is_within_megabytes(double limit) const
{
#ifdef __SANITIZE_ADDRESS__
    (void)limit;
    return true;
#else
    constexpr std::string_view field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field))
            return std::stod(line.substr(field.size())) * bytes_per_kib / 1e6 <= limit;
    return false;
#endif
}

int process::descriptors() const
{
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<int>(std::distance(begin(entries), end(entries)));
}

void print_logs_after_failure(std::string const& folder)
{
    if (!testing::Test::HasFailure())
        return;
    constexpr std::size_t max_lines = 60;
    for (auto const& entry : std::filesystem::directory_iterator(folder))
    {
        if (entry.path().extension() != ".log")
            continue;
        std::deque<std::string> last;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);)
        {
            last.push_back(std::move(line));
            if (last.size() > max_lines)
                last.pop_front();
        }
        std::cerr << "end of " << entry.path().filename().string() << ":\n";
        for (auto const& line : last)
            std::cerr << "  " << line << "\n";
    }
}

void process::append_output_to(std::string const& path)
{
    output_thread_ = std::thread(
        [from = output_, path]
        {
            std::ofstream file(path, std::ios::app);
            std::array<char, 16384> bytes{};
            for (;;)
            {
                auto const size = read(from, bytes.data(), bytes.size());
                if (size <= 0)
                    return;
                file.write(bytes.data(), size).flush();
            }
        });
}

void process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void process::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

std::optional<int> process::wait_for_exit(int milliseconds)
{
    for (int waited = 0; waited <= milliseconds; waited += poll_interval_ms)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
        usleep(poll_interval_ms * 1000);
    }
    return std::nullopt;
}

program_result run_program(std::vector<std::string> command)
{
    auto const child = spawn(command, true);
    program_result result{};
    char buffer[4096];
    ssize_t size = 0;
    while ((size = read(child.output, buffer, sizeof buffer)) > 0)
        result.output.append(buffer, static_cast<std::size_t>(size));
    close(child.output);
    int status = 0;
    waitpid(child.pid, &status, 0);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return result;
}

} // namespace auburnweir::tests
