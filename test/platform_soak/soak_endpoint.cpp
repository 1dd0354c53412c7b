#include "test/platform_soak/soak_endpoint.hpp"

#include "chivedeal/forward/sockets.hpp"
#include "fakes/free_address.hpp"
#include "test/platform_soak/request_format.hpp"

#include "absl/hash/hash.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

namespace chivedeal::soak {

namespace {

constexpr absl::Duration work_time = absl::Milliseconds(20);
constexpr int poll_interval_ms = 5;

bool is_complete(const std::string& input)
{
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return false;
    std::size_t length = 0;
    (void)absl::SimpleAtoi(header_value(input, "Content-Length"), &length);
    return input.size() >= head_end + 4 + length;
}

} // namespace

soak_endpoint::soak_endpoint(std::string id, std::string service, ledger& promises)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_ledger(promises),
      m_address(fakes::free_address()),
      m_proxy(m_address),
      m_started_at_unix_ms(absl::ToUnixMillis(absl::Now()))
{
    const auto listener = forward::listen_tcp(m_address);
    if (is_ok(listener))
        m_listener = get_value(listener);
    else
        m_ledger.fail(get_error(listener).message);
    if (!m_proxy.is_listening())
        m_ledger.fail("the proxy of an endpoint can't listen");
    m_thread = std::make_unique<posix_thread>("endpoint", [this] { run(); });
}

soak_endpoint::~soak_endpoint()
{
    m_stopping = true;
    m_thread.reset();
    close_all();
}

std::string soak_endpoint::record() const
{
    return absl::StrCat(
        R"({"service":")", m_service, R"(","addr":")", to_string(m_proxy.listen_address()),
        R"(","zone":"z1","version":"v1","slots":64,"state":")", m_leaving ? "draining" : "ready",
        R"(","born":)", m_started_at_unix_ms, "}");
}

void soak_endpoint::run()
{
    while (!m_stopping) {
        if (m_crash_requested && !m_crashed) {
            m_crashed = true;
            m_ledger.on_crash(absl::Now());
            m_proxy.shut_down();
            close_all();
        }
        std::vector<pollfd> waiting;
        if (m_listener >= 0)
            waiting.push_back({.fd = m_listener, .events = POLLIN, .revents = 0});
        for (const auto& [descriptor, peer] : m_connections)
            waiting.push_back({.fd = descriptor, .events = POLLIN, .revents = 0});
        poll(waiting.data(), waiting.size(), poll_interval_ms);
        for (const pollfd& ready : waiting) {
            if (ready.revents == 0)
                continue;
            if (ready.fd == m_listener) {
                const int accepted =
                    accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
                if (accepted >= 0)
                    m_connections[accepted];
            }
            else if (const auto found = m_connections.find(ready.fd);
                     found != m_connections.end()) {
                receive(ready.fd, found->second);
            }
        }
        flush_due(absl::Now());
    }
}

void soak_endpoint::receive(int descriptor, connection& peer)
{
    std::array<char, 8192> buffer;
    const ssize_t received = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        close(descriptor);
        m_connections.erase(descriptor);
        return;
    }
    peer.input.append(buffer.data(), static_cast<std::size_t>(received));
    if (is_complete(peer.input))
        respond(peer, std::exchange(peer.input, {}));
}

void soak_endpoint::respond(connection& peer, const std::string& request)
{
    const absl::Time now = absl::Now();
    const ledger::sent_request sent = parse_sent_request(request);
    m_ledger.on_arrival(m_id, sent, now);
    const std::string marks =
        absl::StrCat("Request-Id: ", sent.id, "\r\n", m_leaving ? "Server-Leaving: 1\r\n" : "");
    const absl::Time paused_until = absl::FromUnixMicros(m_paused_until);
    if (now < paused_until) {
        m_ledger.on_turned_away(m_id, sent, paused_until);
        peer.output.emplace_back(now,
                                 absl::StrCat("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: ",
                                              absl::ToDoubleSeconds(paused_until - now), "\r\n",
                                              marks, "Content-Length: 0\r\n\r\n"));
        return;
    }
    m_ledger.on_run(sent, m_id);
    if (sent.deadly) {
        m_crash_requested = true;
        return;
    }
    const std::string head = absl::StrCat("HTTP/1.1 200 OK\r\nServer-Stamp: ", m_id, "\r\n", marks);
    if (!absl::StartsWith(request, "POST /chat/")) {
        const std::string body = plain_body(sent.id);
        peer.output.emplace_back(
            now + work_time, absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n", body));
        return;
    }
    const bool cut = static_cast<double>(absl::HashOf(sent.id) % 1000) < 1000 * m_cut_share.load();
    if (cut)
        m_ledger.on_endpoint_disturbed(m_id, now);
    // A stream that is cut has no framing, so that only its last event shows it.
    peer.close_after_output = cut;
    peer.output.emplace_back(
        now + work_time, absl::StrCat(head, cut ? "" : "Transfer-Encoding: chunked\r\n", "\r\n"));
    for (int i = 1; i <= events_per_stream; ++i) {
        const std::string event = stream_event(sent.id, i);
        const std::string sent_part = cut && i == events_per_stream ? event.substr(0, 9) : event;
        peer.output.emplace_back(
            now + work_time * (i + 1),
            cut ? sent_part : absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n"));
    }
    if (!cut)
        peer.output.emplace_back(now + work_time * (events_per_stream + 1), "0\r\n\r\n");
}

void soak_endpoint::flush_due(absl::Time now)
{
    for (auto entry = m_connections.begin(); entry != m_connections.end();) {
        auto& [descriptor, peer] = *entry;
        bool flushed = false;
        while (!peer.output.empty() && peer.output.front().first <= now) {
            const std::string bytes = std::move(peer.output.front().second);
            peer.output.pop_front();
            (void)send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            flushed = true;
        }
        if (flushed && peer.output.empty() && peer.close_after_output) {
            close(descriptor);
            entry = m_connections.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

void soak_endpoint::close_all()
{
    if (m_listener >= 0)
        close(std::exchange(m_listener, -1));
    for (const auto& [descriptor, peer] : m_connections) {
        // The end of a connection completes a response without framing, so one that is under way
        // is reset.
        const linger reset{.l_onoff = peer.output.empty() ? 0 : 1, .l_linger = 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(descriptor);
    }
    m_connections.clear();
}

} // namespace chivedeal::soak
