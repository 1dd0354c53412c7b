#include "chivedeal/operators/command_line.hpp"

#include "chivedeal/core/team_keys.hpp"
#include "chivedeal/operators/exit_code.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace chivedeal::operators {

namespace {

namespace program_options = boost::program_options;

constexpr const char* words_option = "words";

program_options::options_description describe_flags(const command_line::description& described)
{
    program_options::options_description flags("Flags");
    auto add = flags.add_options();
    for (const auto& [flag, help] : described.flags)
        add(flag.c_str(), program_options::value<std::string>(), help.c_str());
    for (const auto& [flag, help] : described.switches)
        add(flag.c_str(), help.c_str());
    if (described.needs_nodes) {
        add("nodes", program_options::value<std::string>(),
            "comma-separated IP:PORT of nodes [CHIVEDEAL_NODES]");
        add("team-keys-file", program_options::value<std::string>(),
            "file with one TEAM=KEY a line, beside CHIVEDEAL_TEAM_KEYS");
    }
    add("json", "print JSON");
    add("help", "print this text");
    return flags;
}

error usage_error(std::string message)
{
    return {.code = result_code::usage, .message = std::move(message)};
}

status read_nodes(const std::string& text, command_line& out)
{
    for (const auto& part : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
        const auto parsed = parse_address(part);
        if (!is_ok(parsed))
            return usage_error("--nodes: " + get_error(parsed).message);
        out.nodes.push_back(get_value(parsed));
    }
    if (out.nodes.empty())
        return usage_error("name at least one node with --nodes IP:PORT or CHIVEDEAL_NODES");
    return ok_status();
}

status read_connection(command_line& out)
{
    const char* variable = std::getenv("CHIVEDEAL_NODES");
    const status nodes = read_nodes(out.value("nodes", variable == nullptr ? "" : variable), out);
    if (!is_ok(nodes))
        return nodes;
    team_keys keys = read_team_keys(out.value("team-keys-file", ""));
    out.team_keys = std::move(keys.keys);
    if (!keys.faults.empty())
        return keys.faults.front();
    return ok_status();
}

result<command_line> parse_command_line(const command_line::description& described,
                                        const std::vector<std::string>& arguments)
{
    program_options::options_description all = describe_flags(described);
    std::ostringstream help;
    help << "Usage: chivedeal " << described.usage << "\n" << described.summary << "\n\n" << all;
    all.add_options()(words_option, program_options::value<std::vector<std::string>>());
    program_options::positional_options_description positional;
    positional.add(words_option, -1);

    command_line out;
    program_options::variables_map parsed;
    try {
        program_options::store(program_options::command_line_parser(arguments)
                                   .options(all)
                                   .positional(positional)
                                   .style(program_options::command_line_style::unix_style ^
                                          program_options::command_line_style::allow_guessing)
                                   .run(),
                               parsed);
    }
    catch (const program_options::error& fault) {
        return usage_error(
            absl::StrCat(fault.what(), "; see chivedeal ", described.usage, " --help"));
    }
    for (const auto& [name, value] : parsed) {
        if (name == words_option)
            out.words = value.as<std::vector<std::string>>();
        else
            out.values[name] = value.empty() ? "" : value.as<std::string>();
    }
    out.json = out.has("json");
    out.help = out.has("help");
    if (out.help) {
        std::printf("%s", help.str().c_str());
        return out;
    }
    if (out.words.size() < described.min_words || out.words.size() > described.max_words)
        return usage_error(absl::StrCat("usage: chivedeal ", described.usage));
    if (!described.needs_nodes)
        return out;
    const status connection = read_connection(out);
    if (!is_ok(connection))
        return get_error(connection);
    return out;
}

} // namespace

std::string command_line::value(const std::string& flag, const std::string& fallback) const
{
    const auto found = values.find(flag);
    return found == values.end() ? fallback : found->second;
}

int run_with_command_line(const command_line::description& described,
                          const std::vector<std::string>& arguments,
                          const std::function<int(const command_line&)>& body)
{
    const auto line = parse_command_line(described, arguments);
    if (!is_ok(line))
        return report_error(get_error(line));
    return get_value(line).help ? 0 : body(get_value(line));
}

} // namespace chivedeal::operators
