#include "chivedeal/operators/serve_command.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/settings_parser.hpp"
#include "chivedeal/node/node.hpp"
#include "chivedeal/operators/exit_code.hpp"

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <variant>

namespace chivedeal::operators {

namespace {

// Tells the signal loop that the node has ended by itself.
constexpr int node_ended = SIGUSR1;

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, node_ended);
    return signals;
}

// The first signal starts the graceful shutdown, the second one stops at once.
void await_signals(node& entry)
{
    const sigset_t signals = handled_signals();
    bool draining = false;
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received == node_ended)
            return;
        log_event(event_id::stop_signal_received,
                  {{"signal", received == SIGTERM ? "SIGTERM" : "SIGINT"},
                   {"effect", draining ? "stop" : "drain"}});
        if (draining) {
            entry.request_stop();
            continue;
        }
        draining = true;
        entry.request_drain();
    }
}

int run_node(const settings& config)
{
    // Blocked before any thread starts, so that every thread inherits it and `sigwait` alone
    // receives them.
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);

    node entry(config);
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
        kill(getpid(), node_ended);
    });
    await_signals(entry);
    root.join();
    return code;
}

} // namespace

std::string serve_command::summary() const { return "run an entry node"; }

int serve_command::run(const std::vector<std::string>& arguments)
{
    const settings_parser parser;
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        std::printf(
            "Usage: chivedeal serve FLAGS\n"
            "Runs an entry node until SIGTERM or SIGINT, then stops it gracefully; a second "
            "signal stops it at once.\n\n%s",
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
