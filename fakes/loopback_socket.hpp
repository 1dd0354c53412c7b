#ifndef FAKES_LOOPBACK_SOCKET_HPP
#define FAKES_LOOPBACK_SOCKET_HPP

#include "chivedeal/core/address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chivedeal::fakes {

/// Listening socket that never accepts, like an unresponsive peer. Frees its port on destruction.
class loopback_socket
{
public:
    loopback_socket() : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        auto* generic = reinterpret_cast<sockaddr*>(&name);
        if (bind(m_socket, generic, size) == 0 && listen(m_socket, 8) == 0 &&
            getsockname(m_socket, generic, &size) == 0)
            m_address = {.host = "127.0.0.1", .port = ntohs(name.sin_port)};
    }

    ~loopback_socket() { close(m_socket); }
    loopback_socket(const loopback_socket&) = delete;
    loopback_socket& operator=(const loopback_socket&) = delete;

    const address& listen_address() const { return m_address; }

    /// Returns an address on which nothing listens.
    static address unused_address() { return loopback_socket().listen_address(); }

private:
    int m_socket;
    address m_address;
};

} // namespace chivedeal::fakes

#endif
