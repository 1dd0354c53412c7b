#include "chivedeal/operators/drain_command.hpp"

#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/operators/operator_client.hpp"

#include <cstdio>

namespace chivedeal::operators {

namespace {

int start_drain(const command_line& parsed)
{
    if (parsed.nodes.size() != 1)
        return report_error({.code = result_code::usage, .message = "drain takes one node"});
    operator_client client({.nodes = parsed.nodes, .team_keys = {}});
    const status started = client.drain();
    if (!is_ok(started))
        return report_error(get_error(started));
    std::printf(parsed.json ? "{\"draining\":\"%s\"}\n" : "draining %s\n",
                to_string(parsed.nodes.front()).c_str());
    return 0;
}

} // namespace

std::string drain_command::summary() const { return "make a node stop gracefully"; }

int drain_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "drain --nodes IP:PORT",
         .summary = "Takes the node off the address list, lets its streams end or hands them to "
                    "other nodes, and stops it."},
        arguments, start_drain);
}

} // namespace chivedeal::operators
