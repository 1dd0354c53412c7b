#include "chivedeal/operators/check_command.hpp"

#include "chivedeal/core/settings_parser.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/declaration_directory.hpp"
#include "chivedeal/operators/declared_file.hpp"
#include "chivedeal/operators/exit_code.hpp"

#include <cstdio>

namespace chivedeal::operators {

namespace {

int report_all(const std::vector<error>& faults)
{
    int code = 0;
    for (const error& fault : faults)
        code = report_error(fault);
    return code;
}

int check_settings(const std::vector<std::string>& arguments)
{
    const auto parsed = settings_parser().parse(arguments);
    if (const auto* faults = std::get_if<std::vector<error>>(&parsed))
        return report_all(*faults);
    std::printf("settings are usable\n");
    return 0;
}

int check_directory(const std::string& directory)
{
    const auto read = read_declarations(directory);
    if (const auto* faults = std::get_if<std::vector<error>>(&read))
        return report_all(*faults);
    std::printf("%zu declarations are usable\n", std::get<std::vector<declared_file>>(read).size());
    return 0;
}

} // namespace

std::string check_command::summary() const
{
    return "check declarations (check DIR) or settings (check settings FLAGS) without a server";
}

int check_command::run(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && arguments.front() == "settings")
        return check_settings({arguments.begin() + 1, arguments.end()});
    return run_with_command_line(
        {.usage = "check DIR | check settings SERVE-FLAGS",
         .summary = "Checks declarations or settings and reports every fault.",
         .min_words = 1,
         .max_words = 1,
         .needs_nodes = false},
        arguments, [](const command_line& line) { return check_directory(line.words[0]); });
}

} // namespace chivedeal::operators
