#include "chivedeal/forward/request_format.hpp"

#include "chivedeal/forward/http_fields.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chivedeal::forward {

namespace {

// Fields that callers can't set. The Authorization field is removed because callers' keys must not
// reach endpoints.
std::vector<std::string> system_fields(const header_names& names)
{
    std::vector<std::string> fields = names.reserved;
    for (const std::string& name : {names.workspace, names.expected_endpoint, names.priority,
                                    names.deadline_ms, std::string("Authorization")})
        fields.push_back(name);
    return fields;
}

} // namespace

std::string format_request(const exchange& active_exchange, const header_names& names,
                           absl::Time now)
{
    std::string out = absl::StrCat(active_exchange.request.method, " ",
                                   active_exchange.request.target, " HTTP/1.1\r\n");
    std::vector<http_field> fields =
        end_to_end_fields(active_exchange.request.fields, system_fields(names));
    if (active_exchange.match.matched->resumable && !active_exchange.events.last_id().empty()) {
        fields.erase(std::remove_if(fields.begin(), fields.end(),
                                    [&names](const http_field& field) {
                                        return absl::EqualsIgnoreCase(field.name,
                                                                      names.last_event_id);
                                    }),
                     fields.end());
        fields.push_back({names.last_event_id, active_exchange.events.last_id()});
    }
    fields.push_back({names.expected_endpoint, active_exchange.attempt_choice->id.str()});
    const auto remaining_ms = absl::ToInt64Milliseconds(active_exchange.give_up_at - now);
    fields.push_back({names.deadline_ms, absl::StrCat(std::max<std::int64_t>(remaining_ms, 1))});
    if (active_exchange.match.workspace != nullptr)
        fields.push_back({names.workspace, active_exchange.match.workspace->name.str()});
    fields.push_back({names.priority, absl::StrCat(active_exchange.match.priority())});
    append_fields(out, fields);
    if (!active_exchange.request.body.empty() || active_exchange.request.method == "POST" ||
        active_exchange.request.method == "PUT")
        absl::StrAppend(&out, "Content-Length: ", active_exchange.request.body.size(), "\r\n");
    out += "\r\n";
    out += active_exchange.request.body;
    return out;
}

std::string format_retry_after(absl::Duration delay)
{
    return absl::StrFormat("%.3f", absl::ToDoubleSeconds(absl::Ceil(delay, absl::Milliseconds(1))));
}

std::string shared_part_ids(const std::vector<prompt_part>& prefix)
{
    std::string ids;
    for (std::size_t i = 0; i + 1 < prefix.size(); ++i)
        absl::StrAppend(&ids, i == 0 ? "" : ",", prefix[i].id);
    return ids;
}

} // namespace chivedeal::forward
