#ifndef FAKES_FREE_ADDRESS_HPP
#define FAKES_FREE_ADDRESS_HPP

#include "chivedeal/core/address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace chivedeal::fakes {

/// Returns a loopback address with a free port chosen by the kernel, so that concurrent test runs
/// do not use the same port.
///
/// The port stays bound until the process exits: the kernel assigns it neither to another call nor
/// to an outgoing connection, but a listener with SO_REUSEADDR or SO_REUSEPORT may bind it.
inline address free_address()
{
    const int reserved = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    auto* generic = reinterpret_cast<sockaddr*>(&bound);
    if (bind(reserved, generic, size) != 0 || getsockname(reserved, generic, &size) != 0)
        bound.sin_port = 0;
    // Set after `bind`, since the kernel may assign a reusable socket a port that is already bound.
    const int on = 1;
    setsockopt(reserved, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(reserved, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    return {.host = "127.0.0.1", .port = ntohs(bound.sin_port)};
}

} // namespace chivedeal::fakes

#endif
