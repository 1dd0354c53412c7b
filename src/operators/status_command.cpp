#include "chivedeal/operators/status_command.hpp"

#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/operators/operator_client.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace chivedeal::operators {

namespace {

using nlohmann::json;

// Text of a member; the node may be of another version, so nothing is taken for granted.
std::string text(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return "-";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

const json& list(const json& object, const char* name)
{
    static const json empty = json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : empty;
}

void print_status(const json& status)
{
    std::printf("node %s: ready %s, applied offset %s, open requests %s\n",
                text(status, "node").c_str(), text(status, "ready").c_str(),
                text(status, "applied_offset").c_str(), text(status, "open_requests").c_str());
    std::printf("\n%-12s %-10s %-10s %-8s %-6s %s\n", "NODE", "REGION", "ZONE", "STATUS", "READY",
                "APPLIED");
    for (const json& node : list(status, "nodes"))
        std::printf("%-12s %-10s %-10s %-8s %-6s %s\n", text(node, "node").c_str(),
                    text(node, "region").c_str(), text(node, "zone").c_str(),
                    text(node, "status").c_str(), text(node, "ready").c_str(),
                    text(node, "applied_offset").c_str());
    std::printf("\n%-12s %-12s %-10s %-10s %-10s %s\n", "ENDPOINT", "SERVICE", "VERSION", "REGION",
                "ZONE", "STATUS");
    for (const json& endpoint : list(status, "endpoints"))
        std::printf("%-12s %-12s %-10s %-10s %-10s %s\n", text(endpoint, "endpoint").c_str(),
                    text(endpoint, "service").c_str(), text(endpoint, "version").c_str(),
                    text(endpoint, "region").c_str(), text(endpoint, "zone").c_str(),
                    text(endpoint, "status").c_str());
    std::printf("\n%-12s %-10s %s\n", "SERVICE", "VERSION", "BAD");
    for (const json& version : list(status, "versions"))
        std::printf("%-12s %-10s %s\n", text(version, "service").c_str(),
                    text(version, "version").c_str(), text(version, "bad").c_str());
}

int print_status_of_node(const command_line& parsed)
{
    operator_client client({.nodes = parsed.nodes, .team_keys = {}});
    const auto answer = client.get("/v1/status");
    if (!is_ok(answer))
        return report_error(get_error(answer));
    const json status = json::parse(get_value(answer), nullptr, false);
    if (!status.is_object())
        return report_error({.code = result_code::malformed_message, .message = "not a status"});
    if (parsed.json)
        std::printf("%s\n", get_value(answer).c_str());
    else
        print_status(status);
    return 0;
}

} // namespace

std::string status_command::summary() const { return "print nodes, endpoints and versions"; }

int status_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "status",
         .summary = "Prints what one node knows. A change is in force on each node whose applied "
                    "offset has reached the change's version."},
        arguments, print_status_of_node);
}

} // namespace chivedeal::operators
