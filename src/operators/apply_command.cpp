#include "chivedeal/operators/apply_command.hpp"

#include "chivedeal/operators/change_session.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"

namespace chivedeal::operators {

std::string apply_command::summary() const { return "declare what a directory holds"; }

int apply_command::run(const std::vector<std::string>& arguments)
{
    const auto line = parse_command_line(
        {.usage = "apply DIR",
         .summary = "Makes the cluster agree with DIR/teams/TEAM/KIND/NAME.json.",
         .switches = {{"dry-run", "print the difference and change nothing; exit code 3 when there "
                                  "is one"},
                      {"prune", "also remove what the directory lacks"}},
         .min_words = 1,
         .max_words = 1},
        arguments);
    if (!is_ok(line))
        return report_error(get_error(line));
    if (get_value(line).help)
        return 0;
    change_session session(get_value(line));
    return get_value(line).has("dry-run") ? session.print_difference() : session.apply();
}

} // namespace chivedeal::operators
