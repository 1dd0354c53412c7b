#include "chivedeal/requests/request_target.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <utility>

namespace chivedeal::requests {

namespace {

// A percent sign without two hexadecimal digits stays as it is.
std::string decode(absl::string_view text, bool plus_is_space)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::uint32_t byte = 0;
        const bool is_encoded = text[i] == '%' && i + 2 < text.size() &&
                                absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 1])) &&
                                absl::SimpleHexAtoi(text.substr(i + 1, 2), &byte);
        if (is_encoded) {
            decoded += static_cast<char>(byte);
            i += 2;
        }
        else {
            decoded += plus_is_space && text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

request_target parse_request_target(std::string_view target)
{
    const std::pair<absl::string_view, absl::string_view> path_and_query =
        absl::StrSplit(absl::string_view(target.data(), target.size()), absl::MaxSplits('?', 1));
    request_target parsed{.path = decode(path_and_query.first, false), .parameters = {}};
    for (const absl::string_view pair :
         absl::StrSplit(path_and_query.second, '&', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> name_and_value =
            absl::StrSplit(pair, absl::MaxSplits('=', 1));
        parsed.parameters.try_emplace(decode(name_and_value.first, true),
                                      decode(name_and_value.second, true));
    }
    return parsed;
}

} // namespace chivedeal::requests
