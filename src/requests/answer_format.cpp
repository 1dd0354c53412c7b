#include "chivedeal/requests/answer_format.hpp"

#include "chivedeal/core/json_object.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <variant>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

// Any kind of line break ends an SSE line, so the text after it needs a `data:` field of its own.
// The caller reads each line break back as a line feed.
std::string data_lines(const std::string& text)
{
    return absl::StrReplaceAll(text,
                               {{"\r\n", "\ndata: "}, {"\r", "\ndata: "}, {"\n", "\ndata: "}});
}

} // namespace

std::string format_answer_event(const answer_event& event)
{
    if (const auto* token = std::get_if<answer_token>(&event))
        return absl::StrCat("id: ", token->position, "\ndata: ", data_lines(token->text), "\n\n");
    if (const auto* moved = std::get_if<answer_moved>(&event))
        return absl::StrCat(
            "event: moved\ndata: ", json{{"address", to_string(moved->peer)}}.dump(), "\n\n");
    const auto& end = std::get<answer_end>(event);
    json data{{"outcome", to_string(end.result)}};
    if (end.reason.code != result_code::ok) {
        data["code"] = static_cast<int>(end.reason.code);
        data["error"] = to_string(end.reason);
    }
    return absl::StrCat("event: end\ndata: ", encode_json(data), "\n\n");
}

std::string format_refusal(const error& reason, outcome result)
{
    return encode_json({{"outcome", to_string(result)},
                        {"code", static_cast<int>(reason.code)},
                        {"error", to_string(reason)}});
}

int refusal_status(result_code code)
{
    switch (code) {
    case result_code::unknown_service:
    case result_code::unknown_workspace:
    case result_code::unknown_request:
        return 404;
    case result_code::invalid_request:
        return 400;
    case result_code::request_too_large:
        return 413;
    case result_code::rate_limited:
        return 429;
    default:
        return 503;
    }
}

} // namespace chivedeal::requests
