#include "chivedeal/forward/http_fields.hpp"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace chivedeal::forward {

namespace {

constexpr std::array<const char*, 10> hop_by_hop_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE", "Trailer",
    "Upgrade",    "Transfer-Encoding", "Expect",           "Content-Length"};

bool same_name(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

// In lower case. A set, since callers may send thousands of options and fields.
absl::flat_hash_set<std::string> connection_options(const std::vector<http_field>& fields)
{
    absl::flat_hash_set<std::string> options;
    for (const http_field& field : fields)
        if (same_name(field.name, "Connection"))
            for (const absl::string_view name : absl::StrSplit(field.value, ','))
                options.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
    return options;
}

} // namespace

const std::string* find_field(const std::vector<http_field>& fields, std::string_view name)
{
    for (const http_field& field : fields)
        if (same_name(field.name, name))
            return &field.value;
    return nullptr;
}

int count_field(const std::vector<http_field>& fields, std::string_view name)
{
    return static_cast<int>(
        std::count_if(fields.begin(), fields.end(),
                      [name](const http_field& field) { return same_name(field.name, name); }));
}

std::vector<http_field> end_to_end_fields(const std::vector<http_field>& fields,
                                          const std::vector<std::string>& dropped)
{
    const absl::flat_hash_set<std::string> named_by_connection = connection_options(fields);
    std::vector<http_field> kept;
    kept.reserve(fields.size());
    for (const http_field& field : fields) {
        const auto matches = [&field](std::string_view name) {
            return same_name(field.name, name);
        };
        if (std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), matches) ||
            named_by_connection.contains(absl::AsciiStrToLower(field.name)) ||
            std::any_of(dropped.begin(), dropped.end(), matches))
            continue;
        kept.push_back(field);
    }
    return kept;
}

void append_fields(std::string& out, const std::vector<http_field>& fields)
{
    for (const http_field& field : fields)
        absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
}

std::string format_response_head(const http_response_head& head)
{
    namespace http = boost::beast::http;
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    std::string out = absl::StrCat("HTTP/1.1 ", head.status, " ",
                                   absl::string_view(reason.data(), reason.size()), "\r\n");
    append_fields(out, head.fields);
    return out;
}

std::string format_response(const http_response_head& head, std::string_view body, bool keep_alive,
                            bool to_head_request)
{
    std::string out = format_response_head(head);
    const bool has_length = head.status != 204 && head.status != 304 && !to_head_request;
    if (has_length)
        absl::StrAppend(&out, "Content-Length: ", body.size(), "\r\n");
    if (!keep_alive)
        out += "Connection: close\r\n";
    out += "\r\n";
    if (has_length)
        out += body;
    return out;
}

} // namespace chivedeal::forward
