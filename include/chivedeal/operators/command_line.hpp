#ifndef CHIVEDEAL_OPERATORS_COMMAND_LINE_HPP
#define CHIVEDEAL_OPERATORS_COMMAND_LINE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivedeal::operators {

/// Flags and words of a subcommand that talks to nodes.
///
/// Every such subcommand takes `--nodes` (or CHIVEDEAL_NODES), `--team-keys-file`, `--json` and
/// `--help` beside its own flags.
///
///     return run_with_command_line({.usage = "get PATH"}, arguments, print_found);
struct command_line
{
    struct description
    {
        /// Without the program's name.
        std::string usage;
        std::string summary;
        /// Own flags that take a value, with their help.
        std::map<std::string, std::string> flags;
        /// Own flags without a value, with their help.
        std::map<std::string, std::string> switches;
        std::size_t min_words = 0;
        std::size_t max_words = 0;
        bool needs_nodes = true;
    };

    std::vector<address> nodes;
    std::map<team_id, std::string> team_keys;
    bool json = false;
    bool help = false;
    std::map<std::string, std::string> values;
    std::vector<std::string> words;

    bool has(const std::string& flag) const { return values.contains(flag); }
    std::string value(const std::string& flag, const std::string& fallback) const;
};

/// Parses the arguments and calls `body` with them; returns the exit code. A fault, with code
/// `usage` for wrong arguments, or `--help` ends the subcommand before `body` runs.
int run_with_command_line(const command_line::description& described,
                          const std::vector<std::string>& arguments,
                          const std::function<int(const command_line&)>& body);

} // namespace chivedeal::operators

#endif
