#include "test/scenario_runner/tcp_relay.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace chivedeal::scenario {

namespace {

sockaddr_in socket_address(const address& value)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(value.port);
    inet_pton(AF_INET, value.host.c_str(), &out.sin_addr);
    return out;
}

bool forward(int from, int to)
{
    std::array<char, 16384> buffer{};
    const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return false;
    for (ssize_t sent = 0; sent < size;) {
        const ssize_t n =
            send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += n;
    }
    return true;
}

} // namespace

class tcp_relay::link
{
public:
    link(int client, const address& target)
        : m_client(client),
          m_server(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
          m_target(target),
          m_thread("relay_link", [this] { run(); })
    {}

    ~link()
    {
        break_off();
        m_thread.join();
        close(m_client);
        close(m_server);
    }

    void break_off() const
    {
        shutdown(m_client, SHUT_RDWR);
        shutdown(m_server, SHUT_RDWR);
    }

    bool done() const { return m_done; }

private:
    void run()
    {
        const sockaddr_in to = socket_address(m_target);
        if (connect(m_server, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
            copy();
        break_off();
        m_done = true;
    }

    void copy() const
    {
        std::array<pollfd, 2> ends{{{m_client, POLLIN, 0}, {m_server, POLLIN, 0}}};
        while (poll(ends.data(), ends.size(), -1) > 0) {
            if (ends[0].revents != 0 && !forward(m_client, m_server))
                return;
            if (ends[1].revents != 0 && !forward(m_server, m_client))
                return;
        }
    }

    int m_client;
    int m_server;
    address m_target;
    std::atomic<bool> m_done{false};
    posix_thread m_thread;
};

tcp_relay::tcp_relay(address target)
    : m_target(std::move(target)), m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in local = socket_address({.host = "127.0.0.1", .port = 0});
    socklen_t size = sizeof local;
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&local), size) != 0 ||
        listen(m_listener, 64) != 0 ||
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&local), &size) != 0)
        throw std::runtime_error("relay cannot listen");
    m_port = ntohs(local.sin_port);
    m_thread = std::make_unique<posix_thread>("relay", [this] { accept_links(); });
}

tcp_relay::~tcp_relay()
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_stopping = true;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread->join();
    close(m_listener);
}

address tcp_relay::listen_address() const { return {.host = "127.0.0.1", .port = m_port}; }

void tcp_relay::cut()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_cut = true;
    for (const auto& one : m_links)
        one->break_off();
}

void tcp_relay::heal()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_cut = false;
}

void tcp_relay::accept_links()
{
    while (true) {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_stopping || client < 0) {
            if (client >= 0)
                close(client);
            return;
        }
        m_links.remove_if([](const auto& one) { return one->done(); });
        if (m_cut)
            close(client);
        else
            m_links.push_back(std::make_unique<link>(client, m_target));
    }
}

} // namespace chivedeal::scenario
