#ifndef TEST_PLATFORM_SOAK_SOAK_RUN_HPP
#define TEST_PLATFORM_SOAK_SOAK_RUN_HPP

#include "test/platform_soak/ledger.hpp"
#include "test/platform_soak/soak_caller.hpp"
#include "test/platform_soak/soak_endpoint.hpp"
#include "test/platform_soak/soak_node.hpp"
#include "test/platform_soak/soak_store.hpp"

#include "absl/time/time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivedeal::soak {

/// One run: nodes, endpoints and callers, with faults drawn from a seed.
class soak_run
{
public:
    struct options
    {
        unsigned seed = 1;
        int nodes = 4;
        int endpoints = 8;
        int callers = 6;
        absl::Duration length = absl::Seconds(20);
        std::string program;
        std::string directory;
    };

    explicit soak_run(options settings);

    /// Returns the broken promises.
    std::vector<std::string> run();
    std::string summary() const { return m_ledger.summary(); }

private:
    void start_all();
    void run_until(absl::Time end, bool with_faults);
    void publish_configuration();
    void publish_endpoints(absl::Time now);
    void watch_endpoints(absl::Time now);
    void watch_nodes();
    void add_endpoint(const std::string& service);
    void stop_all_nodes();

    void inject_fault(absl::Time now);
    void disturb_node(absl::Time now);
    void disturb_endpoint(absl::Time now);
    void disturb_store(absl::Time now);
    void disturb_links(absl::Time now);
    void order_rollout(absl::Time now);
    void check_rollouts();
    void restore_links();
    void send_deadly_prompts(absl::Time now);
    void kill_all_nodes(absl::Time now);
    void kill_node(soak_node& node, absl::Time now);
    void freeze_node(soak_node& node, absl::Time now);
    void stop_node(soak_node& node, absl::Time now);
    void repeat_stop_signals(soak_node& node);
    void after(absl::Duration delay, std::function<void()> action);
    int random(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }
    absl::Duration random_duration(int min_ms, int max_ms)
    {
        return absl::Milliseconds(min_ms + random(max_ms - min_ms));
    }

    options m_options;
    std::mt19937 m_random;
    // Apart from the other faults, so that a seed still means the same for those.
    std::mt19937 m_link_random;
    std::mt19937 m_signal_random;
    std::mt19937 m_rollout_random;
    ledger m_ledger;
    soak_store m_store;
    std::vector<std::unique_ptr<soak_node>> m_nodes;
    std::vector<std::unique_ptr<soak_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::multimap<absl::Time, std::function<void()>> m_actions;
    // Nodes that were stopped on purpose, or are about to be started again.
    std::map<soak_node*, bool> m_restarting;
    std::map<soak_node*, bool> m_frozen;
    std::atomic<double> m_deadly_share = 0;
    absl::Time m_next_rollout = absl::InfinitePast();
    absl::Time m_next_link_fault = absl::InfinitePast();
    absl::Time m_next_heartbeat = absl::InfinitePast();
    int m_next_endpoint = 1;
    int m_config_version = 0;
};

} // namespace chivedeal::soak

#endif
