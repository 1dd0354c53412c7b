#ifndef CHIVEDEAL_CONTROL_CLIENT_TOKEN_HPP
#define CHIVEDEAL_CONTROL_CLIENT_TOKEN_HPP

#include <cstdint>
#include <string>

namespace chivedeal::control {

/// Idempotency token of a start or stop. It identifies the started instance even if the response
/// of the cloud is lost. The offset of the lease grant makes it unique across lease tenures.
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
