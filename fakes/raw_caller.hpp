#ifndef FAKES_RAW_CALLER_HPP
#define FAKES_RAW_CALLER_HPP

#include "chivedeal/core/address.hpp"
#include "fakes/slow_link.hpp"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::fakes {

/// A caller that sends any bytes, for requests that an HTTP library can't produce.
class raw_caller
{
public:
    /// `timeout` applies to each call.
    raw_caller(const address& node, absl::Duration timeout,
               const std::optional<slow_link>& link = std::nullopt)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_link(link)
    {
        if (m_link)
            limit_buffers();
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
        std::vector<char> buffer(m_link ? m_link->bytes_per_read : 4096);
        while (true) {
            const ssize_t received_bytes =
                recv(m_socket, buffer.data(), buffer.size(), m_link ? MSG_WAITALL : 0);
            if (received_bytes <= 0)
                return received;
            received.append(buffer.data(), static_cast<std::size_t>(received_bytes));
            if (m_link)
                absl::SleepFor(m_link->pause_between_reads);
        }
    }

    /// Returns the body of a response, without what follows it. Less than `bytes` if the connection
    /// ends or the timeout passes without data.
    std::string receive_body(std::size_t bytes)
    {
        std::string received;
        std::vector<char> buffer(m_link ? m_link->bytes_per_read : 4096);
        while (true) {
            const std::size_t head_end = received.find("\r\n\r\n");
            const std::size_t body_begin = head_end == std::string::npos ? head_end : head_end + 4;
            if (head_end != std::string::npos && received.size() >= body_begin + bytes)
                return received.substr(body_begin, bytes);
            const ssize_t received_bytes = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (received_bytes <= 0)
                return head_end == std::string::npos ? "" : received.substr(body_begin);
            received.append(buffer.data(), static_cast<std::size_t>(received_bytes));
            if (m_link)
                absl::SleepFor(m_link->pause_between_reads *
                               (static_cast<double>(received_bytes) /
                                static_cast<double>(m_link->bytes_per_read)));
        }
    }

private:
    // The usual segment size of a network; with that of the loopback device, the kernel buffers
    // megabytes.
    static constexpr int max_segment_bytes = 1448;

    void limit_buffers()
    {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &m_link->receive_buffer_bytes,
                   sizeof m_link->receive_buffer_bytes);
        setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &max_segment_bytes, sizeof max_segment_bytes);
    }

    int m_socket;
    std::optional<slow_link> m_link;
    bool m_connected = false;
};

} // namespace chivedeal::fakes

#endif
