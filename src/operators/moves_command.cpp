#include "chivedeal/operators/moves_command.hpp"

#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/operators/operator_client.hpp"
#include "chivedeal/state/declaration.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <optional>

namespace chivedeal::operators {

namespace {

using nlohmann::json;

constexpr absl::Duration wait_interval = absl::Milliseconds(500);
constexpr int default_wait_s = 3600;

result<json> read_moves(operator_client& client)
{
    const auto answer = client.get("/v1/moves");
    if (!is_ok(answer))
        return get_error(answer);
    json parsed = json::parse(get_value(answer), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("moves") || !parsed["moves"].is_array())
        return error{.code = result_code::malformed_message, .message = "not a list of moves"};
    return parsed["moves"];
}

void print_move(const json& move)
{
    std::printf(
        "%s: %s -> %s, share %s, %s, deadline %s%s%s\n", member_or(move, "service", "").c_str(),
        member_or(move, "from", "").c_str(), member_or(move, "to", "").c_str(),
        move.contains("share") ? move["share"].dump().c_str() : "-",
        member_or(move, "status", "").c_str(), member_or(move, "deadline", "").c_str(),
        member_or(move, "reason", "").empty() ? "" : ", ", member_or(move, "reason", "").c_str());
}

int list_moves(operator_client& client, bool as_json)
{
    const auto moves = read_moves(client);
    if (!is_ok(moves))
        return report_error(get_error(moves));
    if (as_json)
        std::printf("%s\n", get_value(moves).dump().c_str());
    else
        for (const json& move : get_value(moves))
            print_move(move);
    return 0;
}

std::optional<json> find_move(const json& moves, const std::string& service)
{
    for (const json& move : moves)
        if (member_or(move, "service", "") == service)
            return move;
    return std::nullopt;
}

// Polls through node failures until the move has ended.
int wait_for_move(operator_client& client, const std::string& service, absl::Duration limit,
                  bool as_json)
{
    const system_clock clock;
    const absl::Time until = clock.now() + limit;
    while (clock.now() < until) {
        const auto moves = read_moves(client);
        const auto move = is_ok(moves) ? find_move(get_value(moves), service) : std::nullopt;
        if (is_ok(moves) && !move)
            return report_error({.code = result_code::move_not_open,
                                 .message = "no move of service '" + service + "' is declared"});
        const std::string ended = move ? member_or(*move, "status", "") : "";
        if (ended == "done" || ended == "rolled_back") {
            if (as_json)
                std::printf("%s\n", move->dump().c_str());
            else
                print_move(*move);
            return ended == "done" ? 0 : exit_code_of(result_code::move_rolled_back);
        }
        absl::SleepFor(wait_interval);
    }
    return report_error(
        {.code = result_code::timeout, .message = "the move is still open; wait again"});
}

// Withdraws the declaration of the move; an open move without one is rolled back.
int roll_back(operator_client& client, const std::string& service)
{
    const auto declared = client.declarations("/teams/");
    if (!is_ok(declared))
        return report_error(get_error(declared));
    for (const state::declaration& one : get_value(declared)) {
        if (!absl::EndsWith(one.path, absl::StrCat("/moves/", service)))
            continue;
        const auto answer = client.change(one.path, std::nullopt, one.version);
        const error effect = is_ok(answer) ? get_value(answer).effect : get_error(answer);
        if (effect.code != result_code::ok)
            return report_error(effect);
        std::printf("rolled back: the move of service %s is withdrawn\n", service.c_str());
        return 0;
    }
    return report_error({.code = result_code::move_not_open,
                         .message = "no move of service '" + service + "' is declared"});
}

int run_verb(const command_line& parsed)
{
    operator_client client({.nodes = parsed.nodes, .team_keys = parsed.team_keys});
    const std::string& verb = parsed.words[0];
    int timeout_s = 0;
    if (!absl::SimpleAtoi(parsed.value("timeout-s", std::to_string(default_wait_s)), &timeout_s))
        return report_error({.code = result_code::usage, .message = "--timeout-s is not a number"});
    if (verb == "list" && parsed.words.size() == 1)
        return list_moves(client, parsed.json);
    if (verb == "wait" && parsed.words.size() == 2)
        return wait_for_move(client, parsed.words[1], absl::Seconds(timeout_s), parsed.json);
    if (verb == "roll-back" && parsed.words.size() == 2)
        return roll_back(client, parsed.words[1]);
    return report_error({.code = result_code::usage, .message = "see chivedeal moves --help"});
}

} // namespace

std::string moves_command::summary() const
{
    return "list version moves, wait for one, roll one back";
}

int moves_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(
        {.usage = "moves list | moves wait SERVICE | moves roll-back SERVICE",
         .summary =
             "wait ends with exit code 0 when the move is done and 4 when it was rolled back.",
         .flags = {{"timeout-s", "longest wait, s (default 3600)"}},
         .min_words = 1,
         .max_words = 2},
        arguments, run_verb);
}

} // namespace chivedeal::operators
