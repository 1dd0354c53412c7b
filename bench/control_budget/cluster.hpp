#ifndef BENCH_CONTROL_BUDGET_CLUSTER_HPP
#define BENCH_CONTROL_BUDGET_CLUSTER_HPP

#include "bench/control_budget/process_usage.hpp"
#include "chivedeal/core/address.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "test/scenario_runner/process.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::bench {

/// A stand-in of the platform, a few engines and idle entry nodes as processes on loopback.
class cluster
{
public:
    struct options
    {
        std::string bin_dir;
        std::string output_dir;
        std::size_t nodes = 3;
        /// Entries of the instance list. Beyond four they share the four engines.
        std::size_t endpoints = 20;
        std::vector<std::string> serve_flags;
    };

    /// Returns when every node is ready and knows all nodes and endpoints.
    explicit cluster(options start);

    std::size_t size() const { return m_nodes.size(); }
    process_usage usage(std::size_t node) const;

    /// Nodes that the node does not know to be ready. All are, so each is late gossip.
    std::size_t unready_peers(std::size_t node) const;

    /// Counters of control bytes of a node, by name.
    std::map<std::string, double> control_bytes(std::size_t node) const;

    /// Makes a change and returns the time from the proposal until all nodes have applied it.
    absl::Duration measure_change(int number);

    /// Gives a notice for an endpoint and returns the time until all nodes know it as leaving.
    absl::Duration measure_leaving(std::size_t endpoint);

private:
    struct member
    {
        address http;
        std::unique_ptr<scenario::process> program;
    };

    using condition = std::function<bool(const std::string& status)>;

    member launch(const std::string& name, const address& http, std::vector<std::string> command);
    void start_platform();
    void start_endpoints();
    void start_nodes();
    absl::Duration wait_for_all(absl::Time start, const condition& holds) const;

    options m_options;
    system_clock m_clock;
    member m_platform;
    std::vector<member> m_engines;
    std::vector<member> m_nodes;
};

} // namespace chivedeal::bench

#endif
