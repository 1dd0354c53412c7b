#include "chivedeal/operators/diff_command.hpp"

#include "chivedeal/operators/change_session.hpp"
#include "chivedeal/operators/command_line.hpp"

namespace chivedeal::operators {

std::string diff_command::summary() const
{
    return "print how a directory differs from what is declared";
}

int diff_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "diff DIR",
         .summary = "Prints what `apply DIR` would change; exit code 3 when there is a difference.",
         .switches = {{"prune", "also remove what the directory lacks"}},
         .min_words = 1,
         .max_words = 1},
        arguments,
        [](const command_line& line) { return change_session(line).print_difference(); });
}

} // namespace chivedeal::operators
