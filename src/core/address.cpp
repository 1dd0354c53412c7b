#include "chivedeal/core/address.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chivedeal {

std::string to_string(const address& value) { return absl::StrCat(value.host, ":", value.port); }

result<address> parse_address(absl::string_view text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == absl::string_view::npos || colon == 0 ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 65535)
        return error{.code = result_code::malformed_message,
                     .message = absl::StrCat("'", text, "' is not HOST:PORT")};
    return address{.host = std::string(text.substr(0, colon)),
                   .port = static_cast<std::uint16_t>(port)};
}

} // namespace chivedeal
