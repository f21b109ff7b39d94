#include "support/process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
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

constexpr int start_limit_ms = 20000;
constexpr int wait_step_ms = 10;

struct spawned
{
    int pid;
    int output;
};

spawned spawn(std::vector<std::string>& command, bool with_errors)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (with_errors)
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    std::vector<char*> arguments;
    for (auto& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    int pid = -1;
    auto const fault =
        posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (fault != 0)
        throw std::runtime_error("can't start " + command[0]);
    return {pid, ends[0]};
}

/// Reads one line; empty at the end of the output or after the limit.
std::string read_line(int fd, int limit_ms)
{
    std::string line;
    char c = 0;
    pollfd waiting{fd, POLLIN, 0};
    while (poll(&waiting, 1, limit_ms) > 0 && read(fd, &c, 1) == 1 && c != '\n')
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
    std::istringstream words(read_line(output_, start_limit_ms));
    std::string word;
    words >> word;
    if (word != "listening")
    {
        kill();
        throw std::runtime_error(name + " did not start");
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
    , keeper_(std::move(other.keeper_))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(ports_, other.ports_);
    std::swap(keeper_, other.keeper_);
    return *this;
}

process::~process()
{
    kill();
    if (keeper_.joinable())
        keeper_.join();
    if (output_ >= 0)
        close(output_);
}

void process::keep_output(std::string const& path)
{
    keeper_ = std::thread(
        [from = output_, path]
        {
            std::ofstream file(path, std::ios::app);
            std::array<char, 16384> bytes{};
            for (;;)
            {
                auto const got = read(from, bytes.data(), bytes.size());
                if (got <= 0)
                    return;
                file.write(bytes.data(), got);
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
    for (int waited = 0; waited <= milliseconds; waited += wait_step_ms)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
        usleep(wait_step_ms * 1000);
    }
    return std::nullopt;
}

finished_program run_program(std::vector<std::string> command)
{
    auto const child = spawn(command, true);
    finished_program result{};
    char buffer[4096];
    ssize_t got = 0;
    while ((got = read(child.output, buffer, sizeof buffer)) > 0)
        result.output.append(buffer, static_cast<std::size_t>(got));
    close(child.output);
    int status = 0;
    waitpid(child.pid, &status, 0);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return result;
}

} // namespace auburnweir::tests
