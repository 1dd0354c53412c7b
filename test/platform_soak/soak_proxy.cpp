#include "test/platform_soak/soak_proxy.hpp"

#include "chivedeal/forward/sockets.hpp"
#include "fakes/free_address.hpp"

#include "absl/time/clock.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace chivedeal::soak {

namespace {

constexpr int poll_interval_ms = 2;
constexpr std::size_t node_side = 0;
constexpr std::size_t endpoint_side = 1;

void close_with_reset(int descriptor)
{
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(descriptor);
}

} // namespace

soak_proxy::soak_proxy(address target)
    : m_address(fakes::free_address()), m_target(std::move(target))
{
    const auto listener = forward::listen_tcp(m_address);
    if (is_ok(listener))
        m_listener = get_value(listener);
    m_thread = std::make_unique<posix_thread>("proxy", [this] { run(); });
}

soak_proxy::~soak_proxy()
{
    m_stopping = true;
    m_thread.reset();
    reset_all();
    if (m_listener >= 0)
        close(m_listener);
}

void soak_proxy::run()
{
    while (!m_stopping) {
        std::vector<pollfd> waiting;
        if (m_listener >= 0)
            waiting.push_back({.fd = m_listener, .events = POLLIN, .revents = 0});
        if (m_mode != mode::silent)
            for (const link& pair : m_links)
                for (const std::size_t side : {node_side, endpoint_side})
                    if (!pair.ended[side])
                        waiting.push_back(
                            {.fd = pair.descriptors[side], .events = POLLIN, .revents = 0});
        poll(waiting.data(), waiting.size(), poll_interval_ms);
        if (m_shut_down_requested && m_listener >= 0)
            close(m_listener.exchange(-1));
        if (m_shut_down_requested || m_reset_requested.exchange(false))
            reset_all();
        if (m_listener >= 0)
            accept_all();
        if (m_mode == mode::silent)
            continue;
        const absl::Time now = absl::Now();
        for (auto pair = m_links.begin(); pair != m_links.end();)
            pair = transfer(*pair, now) ? std::next(pair) : m_links.erase(pair);
    }
}

void soak_proxy::accept_all()
{
    for (int accepted = forward::accept_tcp(m_listener, absl::Seconds(3)); accepted >= 0;
         accepted = forward::accept_tcp(m_listener, absl::Seconds(3))) {
        const auto connecting = forward::begin_connect(m_target);
        if (is_ok(connecting))
            m_links.push_back({.descriptors = {accepted, get_value(connecting)}});
        else
            close_with_reset(accepted);
    }
}

bool soak_proxy::transfer(link& pair, absl::Time now) const
{
    for (const std::size_t side : {node_side, endpoint_side}) {
        const bool is_cut = side == endpoint_side && m_mode == mode::one_way;
        if (!receive(pair, side, now) || (!is_cut && !deliver(pair, side, now))) {
            for (const int descriptor : pair.descriptors)
                close_with_reset(descriptor);
            return false;
        }
    }
    if (!pair.ended[node_side] || !pair.ended[endpoint_side] || !pair.received[node_side].empty() ||
        !pair.received[endpoint_side].empty())
        return true;
    for (const int descriptor : pair.descriptors)
        close(descriptor);
    return false;
}

bool soak_proxy::receive(link& pair, std::size_t side, absl::Time now) const
{
    std::array<char, 8192> buffer;
    const absl::Time due = now + absl::Microseconds(m_delay_us.load());
    while (!pair.ended[side]) {
        const ssize_t size = recv(pair.descriptors[side], buffer.data(), buffer.size(), 0);
        // A connection to the endpoint that isn't established yet has nothing to read.
        if (size < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
        pair.ended[side] = size == 0;
        pair.received[side].emplace_back(due,
                                         std::string(buffer.data(), static_cast<size_t>(size)));
    }
    return true;
}

bool soak_proxy::deliver(link& pair, std::size_t from, absl::Time now) const
{
    const int target = pair.descriptors[1 - from];
    traffic& waiting = pair.received[from];
    while (!waiting.empty() && waiting.front().first <= now) {
        std::string& bytes = waiting.front().second;
        if (bytes.empty()) {
            // The end of a connection ends both directions, as the peers here close it whole.
            shutdown(target, SHUT_WR);
            pair.ended[1 - from] = true;
            pair.received[1 - from].clear();
            waiting.clear();
            return true;
        }
        const ssize_t sent = send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (bytes.empty())
            waiting.pop_front();
    }
    return true;
}

void soak_proxy::reset_all()
{
    for (const link& pair : m_links)
        for (const int descriptor : pair.descriptors)
            close_with_reset(descriptor);
    m_links.clear();
}

} // namespace chivedeal::soak
