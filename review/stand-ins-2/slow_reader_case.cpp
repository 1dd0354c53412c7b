// Clients that take 4 s to read a large answer, while the machine is stopped for a restart.
//
// Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
#include "node.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr const char* service_name = "anmeldung";
constexpr std::size_t answer_bytes = 2'000'000;
// "at any time" more than three connections without an answer break the rule; three don't.
constexpr int client_count = 3;
// Less than a third of `idle_timeout_ms`, 15 s.
constexpr double pause_s = 4;
constexpr double sigterm_after_s = 0.5;

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// A client on a socket of its own: it sends a booking on a connection that has already served one,
/// reads the beginning of the answer, pauses, and reads the rest.
class slow_reader
{
public:
    slow_reader(int number, int port, record& seen) : m_number(number), m_seen(seen)
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // A client with little memory for what it hasn't read.
        const int buffer_bytes = 32 * 1024;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
        const timeval limit{.tv_sec = 12, .tv_usec = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, loopback.c_str(), &at.sin_addr);
        m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    }
    ~slow_reader() { close(m_socket); }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    bool is_connected() const { return m_connected; }

    /// Returns whether the whole answer arrived.
    bool book(const char* path, double pause)
    {
        const std::string id = "s" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
        const std::string request = std::string("POST ") + path +
                                    " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                                    "\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer key\r\n"
                                    "Content-Length: 7\r\n\r\nbooking";
        m_seen.line("client %s sends a booking", id.c_str());
        if (send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(request.size()))
            return false;
        std::string input;
        std::size_t expected = 0;
        while (expected == 0 || input.size() < expected) {
            char buffer[16 * 1024];
            const ssize_t received = recv(m_socket, buffer, sizeof buffer, 0);
            if (received <= 0) {
                m_seen.line("client %s: the connection ended after %zu of %zu bytes: %s",
                            id.c_str(), input.size(), expected,
                            received == 0 ? "closed" : std::strerror(errno));
                return false;
            }
            input.append(buffer, static_cast<std::size_t>(received));
            const std::size_t head_end = input.find("\r\n\r\n");
            if (expected != 0 || head_end == std::string::npos)
                continue;
            const std::size_t length = input.find("Content-Length: ");
            expected = head_end + 4 +
                       (length == std::string::npos ? 0 : std::stoul(input.substr(length + 16)));
            m_seen.line("client %s reads \"%s\"", id.c_str(),
                        input.substr(0, input.find('\r')).c_str());
            if (pause > 0)
                sleep_s(pause);
        }
        m_seen.line("client %s has the whole answer, %zu bytes", id.c_str(), input.size());
        return true;
    }

private:
    int m_number;
    record& m_seen;
    int m_socket;
    bool m_connected = false;
    int m_sent = 0;
};

std::string configuration()
{
    return nlohmann::json{
        {"version", 7},
        {"routes",
         {{{"name", "booking"},
           {"host", "h.example"},
           {"path_prefix", "/booking/"},
           {"kind", "unsafe"},
           {"timeout_ms", 15000},
           {"goal_ms", 1000},
           {"priority", 2},
           {"service", service_name},
           {"attempts", 1},
           {"public", false}}}},
        {"services", {{{"name", service_name}, {"health_path", "/health"}, {"max_conns", 110}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", {{{"name", "clubs"}, {"api_keys", {"key"}}, {"priority", 1}}}}}
        .dump();
}

int run(const std::string& directory, bool with_sigterm, record& seen)
{
    store platform([](const std::string&, const std::string&) {});
    platform.put("keyed.op", "config", configuration());
    server booking("i-1", service_name, "v1", seen,
                   server::behaviour{.error_share = 0, .large_answer_bytes = answer_bytes},
                   nullptr);
    platform.put("keyed.servers", booking.id(), booking.entry());
    node machine(
        {.name = "front-zuerich-a-1", .directory = directory, .store = platform.address()});
    machine.write_settings({machine.control()}, true);
    machine.start();
    for (int i = 0; i < 200 && !machine.is_ready(); ++i)
        sleep_s(0.1);
    if (!machine.is_ready())
        return 2;
    // Longer than `contact_ms` without any disruption.
    sleep_s(6);
    std::vector<std::unique_ptr<slow_reader>> clients;
    for (int i = 1; i <= client_count; ++i) {
        clients.push_back(std::make_unique<slow_reader>(i, machine.front_port(), seen));
        if (!clients.back()->is_connected() || !clients.back()->book("/booking/small", 0))
            return 2;
    }
    std::atomic<int> cut = 0;
    std::vector<std::thread> threads;
    for (auto& each : clients)
        threads.emplace_back(
            [&cut, &each] { cut += each->book("/booking/large", pause_s) ? 0 : 1; });
    sleep_s(sigterm_after_s);
    if (with_sigterm) {
        seen.line("%s gets SIGTERM", machine.name().c_str());
        machine.signal(SIGTERM);
    }
    for (std::thread& each : threads)
        each.join();
    seen.line("%d of %d bookings were run and lost their answers", cut.load(), client_count);
    // Without planned work, the rule takes note of more than three such connections only.
    const bool broken = with_sigterm ? cut > 0 : cut > 3;
    seen.line("LOST %s", broken ? "is broken" : "holds");
    return broken ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "Usage: slow_reader_case RECORD DIRECTORY\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::record seen(argv[1]);
    if (!seen.is_open())
        return 2;
    const char* trouble = std::getenv("TROUBLE");
    return review::run(argv[2], trouble == nullptr || std::string(trouble) != "0", seen);
}
