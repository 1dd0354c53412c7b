#ifndef FAKES_FREE_ADDRESS_HPP
#define FAKES_FREE_ADDRESS_HPP

#include "chivedeal/core/address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chivedeal::fakes {

/// Returns a loopback address whose port the kernel found free, so that test runs side by side do
/// not meet on one port.
inline address free_address()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    auto* generic = reinterpret_cast<sockaddr*>(&bound);
    if (bind(probe, generic, size) != 0 || getsockname(probe, generic, &size) != 0)
        bound.sin_port = 0;
    close(probe);
    return {.host = "127.0.0.1", .port = ntohs(bound.sin_port)};
}

} // namespace chivedeal::fakes

#endif
