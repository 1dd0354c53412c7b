#ifndef CHIVEDEAL_CONTROL_CLIENT_TOKEN_HPP
#define CHIVEDEAL_CONTROL_CLIENT_TOKEN_HPP

#include <cstdint>
#include <string>

namespace chivedeal::control {

/// Name of one start, by which the instance is found after a lost answer. The grant's offset makes
/// it unique among tenures.
struct client_token
{
    std::string scope;
    std::uint64_t grant = 0;
    int slot = 0;

    friend bool operator==(const client_token&, const client_token&) = default;
    friend auto operator<=>(const client_token&, const client_token&) = default;
};

/// Formats as "placement/r1:42:7".
std::string to_string(const client_token& value);

} // namespace chivedeal::control

#endif
