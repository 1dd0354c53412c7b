#ifndef TEST_SCENARIO_RUNNER_PROCESS_HPP
#define TEST_SCENARIO_RUNNER_PROCESS_HPP

#include <string>
#include <sys/types.h>
#include <vector>

namespace chivedeal::scenario {

/// A child process with its output in a file; killed on destruction.
class process
{
public:
    struct options
    {
        std::vector<std::string> command;
        /// `NAME=value` entries beside the runner's own environment.
        std::vector<std::string> environment;
        std::string output_file;
    };

    /// Throws `std::runtime_error` when the program can't be started.
    explicit process(options start);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;

    pid_t pid() const { return m_pid; }

    /// Whether the process has ended; then `exit_status` holds its status, -1 after a signal.
    bool ended();
    int exit_status() const { return m_exit_status; }

    /// Returns all output so far.
    std::string output() const;

private:
    std::string m_output_file;
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_exit_status = 0;
};

} // namespace chivedeal::scenario

#endif
