#include "test/scenario_runner/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace chivedeal::scenario {

namespace {

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    for (std::string& text : texts)
        pointers.push_back(text.data());
    return pointers;
}

} // namespace

process::process(options start) : m_output_file(std::move(start.output_file))
{
    std::vector<char*> arguments = pointers_to(start.command);
    arguments.push_back(nullptr);
    std::vector<char*> environment = pointers_to(start.environment);
    for (char** entry = environ; *entry != nullptr; ++entry)
        environment.push_back(*entry);
    environment.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure =
        posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("cannot start " + start.command.front());
}

process::~process()
{
    if (ended())
        return;
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void process::signal(int number) const { kill(m_pid, number); }

bool process::ended()
{
    if (m_ended)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_ended = true;
    m_exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

std::string process::output() const
{
    std::ifstream in(m_output_file);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace chivedeal::scenario
