#include "chivedeal/operators/send_command.hpp"

#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/operators/caller_client.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/exit_code.hpp"

#include "absl/strings/numbers.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace chivedeal::operators {

namespace {

const command_line::description described{
    .usage = "send SERVICE [BODY]",
    .summary = "Sends a request to a service and prints the answer as it streams.\n"
               "BODY is a JSON object; --prompt builds one for an engine.",
    .flags = {{"workspace", "workspace that the request counts for"},
              {"prompt", "prompt of the request"},
              {"max-tokens", "longest answer, tokens (default 64)"},
              {"route", "route of the service"},
              {"key", "idempotency key: run at most once under this key"},
              {"priority", "0 (highest) to 9 (default 5)"},
              {"deadline-ms", "time for the whole answer, ms (default 120000)"},
              {"request-id", "request ID (default random)"}},
    .min_words = 1,
    .max_words = 2};

int number(const command_line& line, const std::string& flag, int fallback)
{
    int value = fallback;
    return absl::SimpleAtoi(line.value(flag, std::to_string(fallback)), &value) ? value : -1;
}

result<caller_client::call> make_call(const command_line& line)
{
    nlohmann::json body = line.words.size() > 1
                              ? nlohmann::json::parse(line.words[1], nullptr, false)
                              : nlohmann::json::object();
    const int max_tokens = number(line, "max-tokens", 64);
    const int priority = number(line, "priority", 5);
    const int deadline_ms = number(line, "deadline-ms", 120'000);
    if (!body.is_object() || max_tokens <= 0 || priority < 0 || priority > 9 || deadline_ms <= 0)
        return error{.code = result_code::usage,
                     .message =
                         "BODY must be a JSON object, --max-tokens and --deadline-ms positive "
                         "and --priority 0 to 9"};
    if (line.has("prompt")) {
        body["prompt"] = line.value("prompt", "");
        body["max_tokens"] = max_tokens;
    }
    if (line.has("route"))
        body["route"] = line.value("route", "");
    return caller_client::call{.request = request_id(line.value("request-id", "")),
                               .service = service_id(line.words[0]),
                               .workspace = workspace_id(line.value("workspace", "")),
                               .body = body.dump(),
                               .idempotency_key = line.value("key", ""),
                               .priority = priority,
                               .deadline = absl::Milliseconds(deadline_ms)};
}

void print_json(const caller_answer& answer)
{
    std::printf("%s\n", nlohmann::json{{"request", answer.request.str()},
                                       {"outcome", answer.outcome},
                                       {"code", static_cast<int>(answer.reason.code)},
                                       {"error", answer.reason.message},
                                       {"tokens", answer.tokens},
                                       {"resumes", answer.resumes},
                                       {"repeats", answer.repeats}}
                            .dump()
                            .c_str());
}

int send_and_print(const command_line& parsed)
{
    const auto call = make_call(parsed);
    if (!is_ok(call))
        return report_error(get_error(call));
    const bool json = parsed.json;
    const system_clock clock;
    caller_client client({.time = clock, .addresses = parsed.nodes});
    client.refresh_addresses();
    const caller_answer answer =
        client.send(get_value(call), [json](std::uint64_t position, const std::string& text) {
            if (json)
                return;
            std::printf("%s%s", position == 0 ? "" : " ", text.c_str());
            std::fflush(stdout);
        });
    if (json)
        print_json(answer);
    else
        std::printf("\n");
    if (answer.outcome == "answered")
        return 0;
    std::fprintf(stderr, "%s: %s\n", answer.outcome.c_str(), answer.reason.message.c_str());
    return answer.reason.code == result_code::ok ? 1 : exit_code_of(answer.reason.code);
}

} // namespace

std::string send_command::summary() const { return "send a request and print its streamed answer"; }

int send_command::run(const std::vector<std::string>& arguments)
{
    return run_with_command_line(described, arguments, send_and_print);
}

} // namespace chivedeal::operators
