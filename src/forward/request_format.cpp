#include "chivedeal/forward/request_format.hpp"

#include "chivedeal/forward/http_fields.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chivedeal::forward {

namespace {

constexpr int lowest_priority = 9;

// What callers may not set. Their key stays here.
std::vector<std::string> system_fields(const header_names& names)
{
    std::vector<std::string> fields = names.reserved;
    for (const std::string& name : {names.workspace, names.expected_endpoint, names.priority,
                                    names.deadline_ms, std::string("Authorization")})
        fields.push_back(name);
    return fields;
}

} // namespace

std::string format_request(const exchange& one, const header_names& names, absl::Time now)
{
    std::string out = absl::StrCat(one.request.method, " ", one.request.target, " HTTP/1.1\r\n");
    std::vector<http_field> fields = end_to_end_fields(one.request.fields, system_fields(names));
    if (one.match.matched->resumable && !one.events.last_id().empty()) {
        fields.erase(std::remove_if(fields.begin(), fields.end(),
                                    [&names](const http_field& field) {
                                        return absl::EqualsIgnoreCase(field.name,
                                                                      names.last_event_id);
                                    }),
                     fields.end());
        fields.push_back({names.last_event_id, one.events.last_id()});
    }
    fields.push_back({names.expected_endpoint, one.attempt->id.str()});
    const auto left = absl::ToInt64Milliseconds(one.give_up_at - now);
    fields.push_back({names.deadline_ms, absl::StrCat(std::max<std::int64_t>(left, 1))});
    int priority = one.match.matched->priority;
    if (one.match.workspace != nullptr) {
        fields.push_back({names.workspace, one.match.workspace->name.str()});
        priority = one.match.workspace->priority.value_or(priority);
    }
    fields.push_back({names.priority, absl::StrCat(std::clamp(priority, 0, lowest_priority))});
    append_fields(out, fields);
    if (!one.request.body.empty() || one.request.method == "POST" || one.request.method == "PUT")
        absl::StrAppend(&out, "Content-Length: ", one.request.body.size(), "\r\n");
    out += "\r\n";
    out += one.request.body;
    return out;
}

} // namespace chivedeal::forward
