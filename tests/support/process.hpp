#ifndef AUBURNWEIR_TESTS_PROCESS_HPP
#define AUBURNWEIR_TESTS_PROCESS_HPP

#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburnweir::tests
{

/// A child process that said where it listens; killed when it goes out of scope.
class process
{
public:
    /// Starts a program and waits for its line `listening name=port ...`.
    /// @throws std::runtime_error when it ends or stays silent
    explicit process(std::vector<std::string> command);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    /// Port that it named.
    std::uint16_t port(std::string const& name = "port") const { return ports_.at(name); }

    int pid() const { return pid_; }

    /// Appends what it prints from now on to a file.
    void keep_output(std::string const& path);

    void signal(int number) const;

    /// Kills it at once, as a reclaim does.
    void kill();

    /// Waits for its end. @return the exit code, or null when it runs on
    std::optional<int> wait_for_exit(int milliseconds);

private:
    int pid_ = -1;
    int output_ = -1;
    std::map<std::string, std::uint16_t> ports_;
    std::thread keeper_; ///< copies the output
};

/// A finished run of a program.
struct finished_program
{
    int exit_code;
    std::string output; ///< standard output and standard error
};

finished_program run_program(std::vector<std::string> command);

} // namespace auburnweir::tests

#endif
