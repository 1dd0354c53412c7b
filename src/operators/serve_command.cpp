#include "chivedeal/operators/serve_command.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/process_signals.hpp"
#include "chivedeal/core/settings_parser.hpp"
#include "chivedeal/core/signal_listener.hpp"
#include "chivedeal/guard/machine_limits.hpp"
#include "chivedeal/node/node.hpp"
#include "chivedeal/operators/exit_code.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <variant>

namespace chivedeal::operators {

namespace {

class node_signals : public signal_listener
{
public:
    explicit node_signals(node& entry) : m_entry(entry) {}

    void on_stop_requested() override { m_entry.request_drain(); }
    // The settings are flags and don't change.
    void on_settings_check() override {}

private:
    node& m_entry;
};

int run_node(const settings& config)
{
    node entry(config);
    node_signals listener(entry);
    process_signals signals({.listener = listener});
    int code = 0;
    posix_thread root("node", [&] {
        try {
            entry.run();
            log_event(event_id::node_stopped, {{"node", config.node.str()}, {"reason", "asked"}});
        }
        catch (const std::exception& fault) {
            log_event(event_id::node_stopped,
                      {{"node", config.node.str()}, {"reason", fault.what()}});
            code = 1;
        }
        signals.end();
    });
    signals.run();
    root.join();
    return code;
}

} // namespace

std::string serve_command::summary() const { return "run an entry node"; }

int serve_command::run(const std::vector<std::string>& arguments)
{
    process_signals::block();
    guard::return_freed_memory();
    signal(SIGPIPE, SIG_IGN);
    const settings_parser parser;
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        std::printf(
            "Usage: chivedeal serve FLAGS\n"
            "Runs an entry node until SIGTERM or SIGINT, then stops it gracefully. Repeated "
            "signals don't shorten the stop; SIGKILL ends it at once.\n\n%s",
            parser.help().c_str());
        return 0;
    }
    const auto parsed = parser.parse(arguments);
    if (const auto* faults = std::get_if<std::vector<error>>(&parsed)) {
        for (const error& fault : *faults)
            report_error(fault);
        return exit_code_of(result_code::invalid_setting);
    }
    return run_node(std::get<settings>(parsed));
}

} // namespace chivedeal::operators
