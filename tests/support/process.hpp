#ifndef AUBURNWEIR_TESTS_PROCESS_HPP
#define AUBURNWEIR_TESTS_PROCESS_HPP

#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburnweir::tests
{

/// A child process that has printed its ports; killed by the destructor.
class process
{
public:
    /// Starts a program and waits for its line `listening name=port ...`.
    /// @throws std::runtime_error when the program can't be started, ends, prints another line or
    /// is silent for 20 s
    explicit process(std::vector<std::string> command);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    /// Port that the process printed under `name`.
    std::uint16_t port(std::string const& name = "port") const { return ports_.at(name); }

    /// Process id; -1 after `kill` or `wait_for_exit` has seen the exit.
    int pid() const { return pid_; }

    /// Whether the process has never used more physical memory. True in builds with the address
    /// sanitizer, whose shadow memory and quarantine take more than the program.
    bool is_within_megabytes(double limit) const;

    /// Appends all further output to a file.
    void append_output_to(std::string const& path);

    void signal(int number) const;

    /// Number of open file descriptors.
    int descriptors() const;

    /// Sends SIGKILL and waits for the exit.
    void kill();

    /// Waits for the exit. @return the exit code, the negative number of the signal that ended the
    /// process, or null when it still runs after `milliseconds`
    std::optional<int> wait_for_exit(int milliseconds);

private:
    int pid_ = -1;
    int output_ = -1;
    std::map<std::string, std::uint16_t> ports_;
    std::thread output_thread_; ///< copies the output to a file
};

/// Prints the last lines of all `.log` files of a folder if the running test has failed.
void print_logs_after_failure(std::string const& folder);

/// Result of a program that has ended.
struct program_result
{
    int exit_code;
    std::string output; ///< standard output and standard error
};

/// Runs a program and waits until it ends.
program_result run_program(std::vector<std::string> command);

} // namespace auburnweir::tests

#endif
