#ifndef REVIEW_STAND_INS_2_NODE_HPP
#define REVIEW_STAND_INS_2_NODE_HPP

#include "free_port.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace review {

/// One machine of the system: a process of the deploy file's role, started with the deploy file's
/// command in the repository's root.
class node
{
public:
    struct options
    {
        std::string name;
        std::string directory;
        std::string store;
    };

    explicit node(options settings) : m_options(std::move(settings))
    {
        for (int* port : {&m_front, &m_ready, &m_control, &m_directory, &m_metrics})
            *port = free_port();
    }
    ~node()
    {
        if (is_running()) {
            signal(SIGKILL);
            wait_for_end();
        }
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& name() const { return m_options.name; }
    std::string control() const { return local_address(m_control); }
    int front_port() const { return m_front; }
    int directory_port() const { return m_directory; }
    pid_t pid() const { return m_pid; }

    /// The fields of DEPLOY.md, with the bounds of the site file.
    void write_settings(const std::vector<std::string>& seeds, bool is_first_start) const
    {
        const nlohmann::json settings{{"node", m_options.name},
                                      {"role", "entry"},
                                      {"class", "front"},
                                      {"serves", {"front", "control", "directory"}},
                                      {"ip", loopback},
                                      {"zone", "zuerich-a"},
                                      {"region", "zuerich"},
                                      {"zones", {{"zuerich-a", "zuerich"}}},
                                      {"port_range", {m_metrics, m_metrics}},
                                      {"seeds", seeds},
                                      {"bootstrap", is_first_start},
                                      {"listen",
                                       {{"front", local_address(m_front)},
                                        {"ready", local_address(m_ready)},
                                        {"control", local_address(m_control)},
                                        {"directory", local_address(m_directory)}}},
                                      {"limits", {{"memory_mb", 260}, {"max_fds", 1000}}},
                                      {"bounds",
                                       {{"contact_ms", 4000},
                                        {"drain_ms", 2500},
                                        {"grace_s", 8},
                                        {"config_ms", 2500},
                                        {"retry_ratio", 0.2},
                                        {"retry_window_s", 10},
                                        {"retry_slack", 58},
                                        {"lease_ms", 3000},
                                        {"window_s", 5},
                                        {"usage_late_s", 10},
                                        {"expose_share", 0.1},
                                        {"expose_slack", 50},
                                        {"rollback_ms", 5000},
                                        {"recover_s", 12},
                                        {"ttl_max_s", 5}}},
                                      {"provider", {{"addr", m_options.store}, {"form", "log"}}}};
        std::ofstream(settings_path()) << settings.dump();
    }

    void start()
    {
        const std::string config = "CHIVEDEAL_CONFIG=" + settings_path();
        const std::string log = m_options.directory + "/" + m_options.name + ".log";
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // Sockets of the stand-ins would otherwise stay open in the process.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        const char* arguments[] = {"target/chivedeal", "forward", nullptr};
        const char* environment[] = {config.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr};
        execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }

    void signal(int number) const { kill(m_pid, number); }

    bool is_running()
    {
        if (m_pid <= 0)
            return false;
        if (waitpid(m_pid, nullptr, WNOHANG) == 0)
            return true;
        m_pid = -1;
        return false;
    }
    void wait_for_end()
    {
        if (m_pid > 0)
            waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    /// Resident memory of the process in MB, 0 if it doesn't run.
    int resident_mb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atoi(line.c_str() + 6) / 1024;
        return 0;
    }

    bool is_ready() const
    {
        httplib::Client client(loopback, m_ready);
        client.set_connection_timeout(1);
        client.set_read_timeout(1);
        const auto answer = client.Get("/v1/ready");
        return answer && answer->status == 200;
    }

private:
    std::string settings_path() const
    {
        return m_options.directory + "/" + m_options.name + ".json";
    }

    options m_options;
    int m_front = 0;
    int m_ready = 0;
    int m_control = 0;
    int m_directory = 0;
    int m_metrics = 0;
    pid_t m_pid = -1;
};

} // namespace review

#endif
