#ifndef FAKES_RAW_CALLER_HPP
#define FAKES_RAW_CALLER_HPP

#include "chivedeal/core/address.hpp"

#include "absl/time/time.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace chivedeal::fakes {

/// A caller that sends any bytes, for requests that an HTTP library can't produce.
class raw_caller
{
public:
    /// `timeout` applies to each call.
    raw_caller(const address& node, absl::Duration timeout)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval limit = absl::ToTimeval(timeout);
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(node.port);
        inet_pton(AF_INET, node.host.c_str(), &name.sin_addr);
        m_connected = connect(m_socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    }

    ~raw_caller() { close(m_socket); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    bool is_connected() const { return m_connected; }

    /// Returns false if not all bytes could be sent.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent_bytes = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent_bytes <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent_bytes));
        }
        return true;
    }

    /// Returns what arrives until the connection ends or the timeout passes without data.
    std::string receive_all()
    {
        std::string received;
        std::array<char, 4096> buffer;
        while (true) {
            const ssize_t received_bytes = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (received_bytes <= 0)
                return received;
            received.append(buffer.data(), static_cast<std::size_t>(received_bytes));
        }
    }

private:
    int m_socket;
    bool m_connected = false;
};

} // namespace chivedeal::fakes

#endif
