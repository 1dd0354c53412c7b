#ifndef CHIVEDEAL_CORE_ADDRESS_HPP
#define CHIVEDEAL_CORE_ADDRESS_HPP

#include "chivedeal/core/result.hpp"

#include "absl/strings/string_view.h"

#include <compare>
#include <cstdint>
#include <string>

namespace chivedeal {

/// An IP number and a port.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const address&, const address&) = default;
    friend auto operator<=>(const address&, const address&) = default;
};

/// Formats as "127.0.0.1:8080".
std::string to_string(const address& value);

/// Parses "HOST:PORT"; `malformed_message` when the port is missing or out of range.
result<address> parse_address(absl::string_view text);

} // namespace chivedeal

#endif
