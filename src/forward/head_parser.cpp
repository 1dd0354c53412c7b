#include "chivedeal/forward/head_parser.hpp"

#include "chivedeal/forward/http_fields.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace chivedeal::forward {

namespace {

error make_invalid_request(const std::string& message)
{
    return {.code = result_code::invalid_request, .message = message};
}

// Names are kept for each endpoint that has read the part, so a longer one is replaced by its hash,
// which is the same on all nodes.
constexpr std::size_t max_part_name_bytes = 128;

// Far above the context of any model. Sums of such numbers don't overflow.
constexpr std::int64_t max_tokens = 1'000'000'000;

bool parse_tokens(absl::string_view text, std::int64_t& tokens)
{
    return absl::SimpleAtoi(text, &tokens) && tokens >= 0 && tokens <= max_tokens;
}

std::string part_name(absl::string_view name)
{
    if (name.size() <= max_part_name_bytes)
        return std::string(name);
    return absl::StrCat("hash-", absl::Hex(XXH3_64bits(name.data(), name.size())));
}

std::string bearer_key(const std::vector<http_field>& fields)
{
    const std::string* text = find_field(fields, "Authorization");
    if (text == nullptr || !absl::StartsWithIgnoreCase(*text, "Bearer "))
        return {};
    return std::string(absl::StripAsciiWhitespace(absl::string_view(*text).substr(7)));
}

} // namespace

std::vector<prompt_part> parse_prefix(const std::string& text)
{
    std::vector<prompt_part> parts;
    for (const absl::string_view entry : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> id_and_tokens =
            absl::StrSplit(absl::StripAsciiWhitespace(entry), absl::MaxSplits(':', 1));
        std::int64_t tokens = 0;
        if (id_and_tokens.first.empty() || !parse_tokens(id_and_tokens.second, tokens))
            break;
        parts.push_back({.id = part_name(id_and_tokens.first), .tokens = tokens});
    }
    return parts;
}

result<request_head> parse_request_head(const http_request& request, const header_names& names)
{
    const std::string* id = find_field(request.fields, names.request_id);
    if (id == nullptr || id->empty() || count_field(request.fields, names.request_id) != 1)
        return make_invalid_request(absl::StrCat(
            "the ", names.request_id, " header must be sent exactly once, with a value"));
    if (count_field(request.fields, "Authorization") > 1)
        return make_invalid_request("the Authorization header must not be sent more than once");
    request_head head{.id = request_id(*id),
                      .method = request.method,
                      .target = request.target,
                      .host = *find_field(request.fields, "Host"),
                      .key = bearer_key(request.fields)};
    if (const std::string* text = find_field(request.fields, names.deadline_ms)) {
        std::int64_t milliseconds = 0;
        if (!absl::SimpleAtoi(*text, &milliseconds) || milliseconds < 0)
            return make_invalid_request(absl::StrCat(
                names.deadline_ms, " must be a non-negative integer number of milliseconds"));
        head.deadline = absl::Milliseconds(milliseconds);
    }
    if (const std::string* text = find_field(request.fields, names.token_counts)) {
        const std::pair<absl::string_view, absl::string_view> counts =
            absl::StrSplit(*text, absl::MaxSplits(',', 1));
        if (!parse_tokens(counts.first, head.prompt_tokens) ||
            !parse_tokens(counts.second, head.max_output_tokens))
            return make_invalid_request(absl::StrCat(names.token_counts,
                                                     " must be two integers from 0 to ", max_tokens,
                                                     ", separated by a comma"));
        head.has_token_counts = true;
    }
    if (const std::string* text = find_field(request.fields, names.prefix))
        head.prefix = parse_prefix(*text);
    if (const std::string* text = find_field(request.fields, names.last_event_id))
        head.last_event_id = *text;
    return head;
}

} // namespace chivedeal::forward
