#include "chivedeal/operators/apply_command.hpp"

#include "chivedeal/operators/change_session.hpp"
#include "chivedeal/operators/command_line.hpp"

namespace chivedeal::operators {

std::string apply_command::summary() const { return "declare what a directory holds"; }

int apply_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "apply DIR",
         .summary = "Makes the cluster agree with DIR/teams/TEAM/KIND/NAME.json.",
         .switches = {{"dry-run", "print the difference and change nothing; exit code 3 when there "
                                  "is one"},
                      {"prune", "also remove what the directory lacks"}},
         .min_words = 1,
         .max_words = 1},
        arguments, [](const command_line& line) {
            change_session session(line);
            return line.has("dry-run") ? session.print_difference() : session.apply();
        });
}

} // namespace chivedeal::operators
