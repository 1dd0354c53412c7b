#include "test/platform_soak/request_format.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <cstdint>

namespace chivedeal::soak {

std::string header_value(const std::string& request, const std::string& name)
{
    const std::size_t field = request.find("\r\n" + name + ": ");
    if (field == std::string::npos)
        return {};
    const std::size_t begin = field + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

httplib::Headers format_headers(const ledger::sent_request& request, const std::string& prefix)
{
    return {{"Host", "h"},
            {"Request-Id", request.id},
            {"Deadline-Ms", "4000"},
            {"Authorization", "Bearer key"},
            {"Prefix-Hash", prefix},
            {"Token-Counts", "100,10"},
            {"Soak-Node", request.node},
            {"Soak-Sent-Us", absl::StrCat(absl::ToUnixMicros(request.sent_at))},
            {"Soak-Deadly", request.deadly ? "1" : "0"},
            {"Soak-Repeatable", request.repeatable ? "1" : "0"}};
}

ledger::sent_request parse_sent_request(const std::string& request)
{
    std::int64_t sent_us = 0;
    (void)absl::SimpleAtoi(header_value(request, "Soak-Sent-Us"), &sent_us);
    return {.id = header_value(request, "Request-Id"),
            .node = header_value(request, "Soak-Node"),
            .sent_at = absl::FromUnixMicros(sent_us),
            .deadly = header_value(request, "Soak-Deadly") == "1",
            .repeatable = header_value(request, "Soak-Repeatable") == "1"};
}

std::string plain_body(const std::string& request_id) { return "answer to " + request_id; }

std::string stream_event(const std::string& request_id, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", request_id, " ", number, "\n\n");
}

std::string stream_body(const std::string& request_id)
{
    std::string body;
    for (int i = 1; i <= events_per_stream; ++i)
        body += stream_event(request_id, i);
    return body;
}

} // namespace chivedeal::soak
