#include "chivedeal/operators/get_command.hpp"

#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/operators/operator_client.hpp"
#include "chivedeal/operators/wire.hpp"
#include "chivedeal/state/declaration.hpp"

#include <cstdio>

namespace chivedeal::operators {

namespace {

int print_change(operator_client& client, const std::string& change, bool json)
{
    const auto answer = client.change_status(change_id(change));
    if (!is_ok(answer))
        return report_error(get_error(answer));
    const change_answer& value = get_value(answer);
    if (json)
        std::printf("%s\n", encode_change_answer(value).c_str());
    else if (value.effect.code == result_code::ok)
        std::printf("accepted at version %llu\n", static_cast<unsigned long long>(value.version));
    return value.effect.code == result_code::ok ? 0 : report_error(value.effect);
}

int print_declarations(operator_client& client, const std::string& prefix, bool json)
{
    const auto found = client.declarations(prefix);
    if (!is_ok(found))
        return report_error(get_error(found));
    if (json) {
        std::printf("%s\n", encode_declarations(get_value(found)).c_str());
        return 0;
    }
    for (const state::declaration& one : get_value(found))
        std::printf("%s (version %llu)\n  %s\n", one.path.c_str(),
                    static_cast<unsigned long long>(one.version), one.body.c_str());
    if (get_value(found).empty())
        return report_error(
            {.code = result_code::not_found, .message = "nothing is declared under " + prefix});
    return 0;
}

int print_found(const command_line& parsed)
{
    operator_client client({.nodes = parsed.nodes, .team_keys = parsed.team_keys});
    if (parsed.has("change"))
        return print_change(client, parsed.value("change", ""), parsed.json);
    return print_declarations(client, parsed.words.empty() ? "/teams/" : parsed.words[0],
                              parsed.json);
}

} // namespace

std::string get_command::summary() const
{
    return "print declarations, or what became of a change";
}

int get_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "get [PREFIX]",
         .summary = "Prints the declarations under a path.",
         .flags = {{"change", "print what became of the change with this ID"}},
         .max_words = 1},
        arguments, print_found);
}

} // namespace chivedeal::operators
