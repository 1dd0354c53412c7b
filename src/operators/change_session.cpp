#include "chivedeal/operators/change_session.hpp"

#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/change_plan.hpp"
#include "chivedeal/operators/declaration_directory.hpp"
#include "chivedeal/operators/declared_file.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/state/declaration.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace chivedeal::operators {

namespace {

const char* name_of(change_kind kind)
{
    switch (kind) {
    case change_kind::add:
        return "add";
    case change_kind::update:
        return "update";
    case change_kind::remove:
        return "remove";
    }
    return "";
}

void print_plan(const std::vector<planned_change>& changes, bool json)
{
    if (!json) {
        for (const planned_change& change : changes)
            std::printf("%s\n", to_string(change).c_str());
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const planned_change& change : changes)
        list.push_back({{"kind", name_of(change.kind)},
                        {"path", change.path},
                        {"body", change.body.value_or("")},
                        {"previous_body", change.previous_body},
                        {"expected_version", change.expected_version}});
    std::printf("%s\n", list.dump().c_str());
}

} // namespace

change_session::change_session(const command_line& line)
    : m_line(line), m_client({.nodes = line.nodes, .team_keys = line.team_keys})
{}

result<std::vector<planned_change>> change_session::plan()
{
    const auto read = read_declarations(m_line.words[0]);
    if (const auto* faults = std::get_if<std::vector<error>>(&read)) {
        for (const error& fault : *faults)
            report_error(fault);
        return error{.code = result_code::invalid_declaration,
                     .message = "nothing was changed; correct the files above"};
    }
    const auto declared = m_client.declarations("/teams/");
    if (!is_ok(declared))
        return get_error(declared);
    return plan_changes(std::get<std::vector<declared_file>>(read), get_value(declared),
                        m_line.has("prune"));
}

int change_session::print_difference()
{
    const auto changes = plan();
    if (!is_ok(changes))
        return report_error(get_error(changes));
    print_plan(get_value(changes), m_line.json);
    return get_value(changes).empty() ? 0 : exit_code_of(result_code::declarations_differ);
}

int change_session::apply()
{
    const auto changes = plan();
    if (!is_ok(changes))
        return report_error(get_error(changes));
    for (const planned_change& change : get_value(changes)) {
        const auto answer = m_client.change(change.path, change.body, change.expected_version);
        const error effect = is_ok(answer) ? get_value(answer).effect : get_error(answer);
        if (effect.code != result_code::ok) {
            std::fprintf(stderr, "%s: ", change.path.c_str());
            return report_error(effect);
        }
        if (m_line.json)
            std::printf("%s\n", nlohmann::json{{"kind", name_of(change.kind)},
                                               {"path", change.path},
                                               {"change_id", get_value(answer).change.str()},
                                               {"version", get_value(answer).version}}
                                    .dump()
                                    .c_str());
        else
            std::printf("accepted %s %s at version %llu\n", name_of(change.kind),
                        change.path.c_str(),
                        static_cast<unsigned long long>(get_value(answer).version));
    }
    if (!m_line.json)
        std::printf("%zu changes\n", get_value(changes).size());
    return 0;
}

} // namespace chivedeal::operators
