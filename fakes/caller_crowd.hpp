#ifndef FAKES_CALLER_CROWD_HPP
#define FAKES_CALLER_CROWD_HPP

#include "chivedeal/core/address.hpp"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Many connections from one thread. Each sends its bytes as far as the node takes them and reads
/// no response.
class caller_crowd
{
public:
    explicit caller_crowd(const address& node) : m_node(node) {}

    ~caller_crowd()
    {
        for (const member& one : m_members)
            ::close(one.socket);
    }
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Sends `begin`, and then `filler` until `bytes` are sent in total.
    void add(std::string begin, std::string filler = "", std::size_t bytes = 0)
    {
        const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // Unread responses otherwise fill the caller's kernel buffers and not the node.
        setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
        setsockopt(caller, IPPROTO_TCP, TCP_MAXSEG, &max_segment_bytes, sizeof max_segment_bytes);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(m_node.port);
        inet_pton(AF_INET, m_node.host.c_str(), &name.sin_addr);
        const bool connected =
            connect(caller, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
        const std::size_t total_bytes = std::max(bytes, begin.size());
        m_members.push_back({.socket = caller,
                             .begin = std::move(begin),
                             .filler = std::move(filler),
                             .total_bytes = total_bytes,
                             .open = connected});
    }

    /// Sends in turns until all is sent, or the node has taken nothing for `max_stall`. Calls
    /// `observe` after each turn.
    void send_all(absl::Duration max_stall, const std::function<void()>& observe)
    {
        absl::Time last_progress = absl::Now();
        while (absl::Now() - last_progress < max_stall) {
            bool pending = false;
            bool progress = false;
            for (member& one : m_members) {
                progress = send_some(one) || progress;
                pending = pending || (one.open && one.sent_bytes < one.total_bytes);
            }
            observe();
            if (!pending)
                return;
            if (progress)
                last_progress = absl::Now();
            else
                absl::SleepFor(absl::Milliseconds(5));
        }
    }

    /// Sends once on each connection.
    void send_turn()
    {
        for (member& one : m_members)
            send_some(one);
    }

    /// Closes every `step`th connection.
    void leave(std::size_t step)
    {
        for (std::size_t i = 0; i < m_members.size(); i += step) {
            ::close(std::exchange(m_members[i].socket, -1));
            m_members[i].open = false;
        }
    }

private:
    struct member
    {
        int socket = -1;
        std::string begin;
        std::string filler;
        std::size_t total_bytes = 0;
        std::size_t sent_bytes = 0;
        bool open = false;
    };

    static constexpr int receive_buffer_bytes = 4 * 1024;
    static constexpr int max_segment_bytes = 1448;

    // Sends at most one filler or the rest of `begin`; returns whether the node took bytes.
    static bool send_some(member& one)
    {
        if (!one.open || one.sent_bytes >= one.total_bytes)
            return false;
        const bool in_begin = one.sent_bytes < one.begin.size();
        const std::string& text = in_begin ? one.begin : one.filler;
        const std::size_t from =
            in_begin ? one.sent_bytes : (one.sent_bytes - one.begin.size()) % text.size();
        const std::size_t size = std::min(text.size() - from, one.total_bytes - one.sent_bytes);
        const ssize_t sent =
            ::send(one.socket, text.data() + from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
            one.open = false;
        if (sent <= 0)
            return false;
        one.sent_bytes += static_cast<std::size_t>(sent);
        return true;
    }

    address m_node;
    std::vector<member> m_members;
};

} // namespace chivedeal::fakes

#endif
