#ifndef TEST_PLATFORM_SOAK_SOAK_NODE_HPP
#define TEST_PLATFORM_SOAK_SOAK_NODE_HPP

#include "chivedeal/core/address.hpp"
#include "test/scenario_runner/process.hpp"

#include "absl/time/time.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::soak {

/// A node as a process that is started, signalled and started again with the same settings.
class soak_node
{
public:
    struct options
    {
        std::string name;
        std::string program;
        std::string directory;
        address store;
        /// Limits of the instance in the settings; absent there if 0.
        int memory_mb = 0;
        int max_descriptors = 0;
    };

    explicit soak_node(options settings);

    const std::string& name() const { return m_options.name; }
    const address& front() const { return m_front; }
    const address& control() const { return m_control; }
    const address& ready() const { return m_ready; }
    const address& directory() const { return m_directory; }
    const address& metrics() const { return m_metrics; }

    /// Writes the settings file; `seeds` are control addresses of other nodes.
    void write_settings(const std::vector<address>& seeds) const;
    void start();
    /// Number of times that it was started.
    int starts() const { return m_starts; }
    void signal(int number) const;

    /// Whether the process has ended, and was not started again.
    bool ended() const;
    int exit_status() const { return m_process->exit_status(); }
    pid_t pid() const { return m_process->pid(); }

    /// A graceful stop is under way, and nothing else happened to the process.
    bool is_stopping_gracefully() const { return m_stopping_gracefully; }
    void set_stopping_gracefully(bool value) { m_stopping_gracefully = value; }
    bool is_ready() const;

private:
    options m_options;
    address m_front;
    address m_ready;
    address m_control;
    address m_directory;
    address m_metrics;
    std::unique_ptr<scenario::process> m_process;
    int m_starts = 0;
    std::atomic<bool> m_stopping_gracefully = false;
};

} // namespace chivedeal::soak

#endif
