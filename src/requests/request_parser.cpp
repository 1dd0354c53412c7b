#include "chivedeal/requests/request_parser.hpp"

#include "chivedeal/core/random_id.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/http_request.hpp"
#include "chivedeal/requests/request_members.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

#include <algorithm>
#include <utility>

namespace chivedeal::requests {

namespace {

constexpr int default_deadline_ms = 120'000;

// IDs appear in logs, gossip and the log service, so their length and characters are restricted.
constexpr std::size_t max_id_bytes = 128;

bool is_identifier(const std::string& text)
{
    return text.size() <= max_id_bytes && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ||
                      c == '.' || c == ':';
           });
}

error invalid_request(const char* message)
{
    return {.code = result_code::invalid_request, .message = message};
}

std::string header_text(const forward::http_request& http, const char* name)
{
    const std::string* value = forward::find_field(http.fields, name);
    return value == nullptr ? std::string() : *value;
}

int header_number(const forward::http_request& http, const char* name, int fallback)
{
    int value = fallback;
    const std::string* text = forward::find_field(http.fields, name);
    return text != nullptr && !absl::SimpleAtoi(*text, &value) ? -1 : value;
}

} // namespace

result<caller_request> parse_caller_request(forward::http_request& http, const std::string& service,
                                            absl::Time now)
{
    auto members = read_request_members(http.body);
    if (!members)
        return invalid_request("the body is not a JSON object of at most 64 levels");
    const int deadline_ms = header_number(http, "Chivedeal-Deadline-Ms", default_deadline_ms);
    const int priority = header_number(http, "Chivedeal-Priority", 5);
    if (deadline_ms <= 0 || priority < 0 || priority > 9)
        return invalid_request("Chivedeal-Deadline-Ms must be a positive number and "
                               "Chivedeal-Priority an integer from 0 to 9");
    std::string id = header_text(http, "Chivedeal-Request-Id");
    std::string workspace = header_text(http, "Chivedeal-Workspace");
    std::string key = header_text(http, "Idempotency-Key");
    if (!is_identifier(id) || !is_identifier(workspace) || !is_identifier(key))
        return invalid_request(
            "Chivedeal-Request-Id, Chivedeal-Workspace and Idempotency-Key "
            "must have at most 128 characters of a-z, A-Z, 0-9, '-', '_', '.' and ':'");
    return caller_request{.id = request_id(id.empty() ? "r" + random_id() : std::move(id)),
                          .workspace = workspace_id(std::move(workspace)),
                          .service = service_id(service),
                          .route = std::move(members->route),
                          .priority = priority,
                          .deadline = now + absl::Milliseconds(deadline_ms),
                          .idempotency_key = std::move(key),
                          .body = std::move(http.body),
                          .max_tokens = members->max_tokens,
                          .prefix = std::move(members->prefix)};
}

} // namespace chivedeal::requests
