#ifndef TEST_SCENARIO_RUNNER_STAGE_HPP
#define TEST_SCENARIO_RUNNER_STAGE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "test/scenario_runner/background_call.hpp"
#include "test/scenario_runner/background_change.hpp"
#include "test/scenario_runner/background_load.hpp"
#include "test/scenario_runner/port_block.hpp"
#include "test/scenario_runner/process.hpp"
#include "test/scenario_runner/statement.hpp"
#include "test/scenario_runner/tcp_relay.hpp"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::scenario {

/// The processes of a scenario, and the verbs that act on them.
class stage
{
public:
    struct options
    {
        /// Holds `chivedeal` and the stand-ins.
        std::string bin_dir;
        /// Receives the output of each process.
        std::string output_dir;
        /// Environment of the nodes beside the runner's own.
        std::vector<std::string> node_environment;
        /// Longest wait for an expectation.
        absl::Duration wait_limit = absl::Seconds(60);
    };

    explicit stage(options start);
    ~stage();

    /// Runs one statement. Throws `expectation_failure` when what it expects does not come true
    /// and `std::runtime_error` when it can't be run.
    void run(const statement& one);

    /// Returns the last lines that each process printed.
    std::string recent_output(std::size_t lines) const;

private:
    struct member
    {
        std::unique_ptr<process> program;
        address http;
        address rpc;
        /// Path to the platform; only nodes have one.
        std::unique_ptr<tcp_relay> platform_link;
    };

    using verb = void (stage::*)(const statement&);

    void start_platform(const statement& one);
    void start_node(const statement& one);
    void start_engine(const statement& one);
    void start_plain(const statement& one);
    void start_endpoint(const statement& one, const std::string& program);
    void await_ready(const statement& one);
    void declare(const statement& one);
    void change(const statement& one);
    void await_change(const statement& one);
    void send(const statement& one);
    void start_load(const statement& one);
    void stop_load(const statement& one);
    void await_answer(const statement& one);
    void await_tokens(const statement& one);
    void signal(const statement& one);
    void await_exit(const statement& one);
    void set_fault(const statement& one);
    void give_notice(const statement& one);
    void cut(const statement& one);
    void heal(const statement& one);
    void post(const statement& one);
    void expect(const statement& one);
    void until(const statement& one);
    void expect_log(const statement& one);
    void pause(const statement& one);

    member& find(const statement& one, const std::string& name);
    void launch(const std::string& name, member added, std::vector<std::string> command);
    bool holds(const statement& one, std::string& seen);
    void wait_until(const statement& one, const std::function<bool(std::string& seen)>& condition);
    background_change::options change_of(const statement& one, const std::string& path) const;
    operators::caller_client::options client_of(const statement& one) const;
    operators::caller_client::call call_of(const statement& one, const std::string& name) const;
    std::vector<address> node_addresses(const std::string& first) const;

    options m_options;
    port_block m_ports;
    system_clock m_clock;
    std::map<std::string, member> m_members;
    std::vector<std::string> m_nodes;
    std::map<std::string, std::unique_ptr<background_call>> m_calls;
    std::map<std::string, std::unique_ptr<background_change>> m_changes;
    std::map<std::string, std::unique_ptr<background_load>> m_loads;
};

} // namespace chivedeal::scenario

#endif
