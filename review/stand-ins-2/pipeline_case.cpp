// Clients that send their next look-up before the answer to the one before, while the machine is
// stopped for a restart.
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
constexpr int client_count = 6;
constexpr std::chrono::milliseconds work{600};
constexpr double sigterm_after_s = 0.1;
// `lost_ms` of the site file.
constexpr double lost_s = 0.2;

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// A client on a socket of its own.
class pipelining_client
{
public:
    pipelining_client(int number, int port, record& seen) : m_number(number), m_seen(seen)
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{.tv_sec = 10, .tv_usec = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, loopback.c_str(), &at.sin_addr);
        m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    }
    ~pipelining_client() { close(m_socket); }
    pipelining_client(const pipelining_client&) = delete;
    pipelining_client& operator=(const pipelining_client&) = delete;

    bool is_connected() const { return m_connected; }

    /// Sends look-ups at once and returns how many of them got no answer, although the connection
    /// stayed open for more than `lost_ms` after their last byte.
    int look_up(int count)
    {
        std::string requests;
        const int first = m_sent + 1;
        for (int i = 0; i < count; ++i)
            requests +=
                "GET /catalogue/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id(++m_sent) +
                "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key\r\n\r\n";
        const double sent_at = m_seen.now();
        m_seen.line("client sends %s to %s", id(first).c_str(), id(m_sent).c_str());
        if (send(m_socket, requests.data(), requests.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(requests.size()))
            return 0;
        std::string input;
        for (int next = first; next <= m_sent;) {
            char buffer[16 * 1024];
            const ssize_t received = recv(m_socket, buffer, sizeof buffer, 0);
            if (received <= 0) {
                const double open_s = m_seen.now() - sent_at;
                m_seen.line("client: the connection ended %.3f s after %s was sent (%s): %d "
                            "without an answer",
                            open_s, id(m_sent).c_str(),
                            received == 0 ? "closed" : std::strerror(errno), m_sent - next + 1);
                return open_s > lost_s ? m_sent - next + 1 : 0;
            }
            input.append(buffer, static_cast<std::size_t>(received));
            while (next <= m_sent && take_answer(input, next))
                ++next;
        }
        return 0;
    }

private:
    std::string id(int number) const
    {
        return "p" + std::to_string(m_number) + "-" + std::to_string(number);
    }

    bool take_answer(std::string& input, int number)
    {
        const std::size_t head_end = input.find("\r\n\r\n");
        if (head_end == std::string::npos)
            return false;
        const std::size_t length = input.find("Content-Length: ");
        const std::size_t size =
            head_end + 4 + (length < head_end ? std::stoul(input.substr(length + 16)) : 0);
        if (input.size() < size)
            return false;
        const bool closes =
            input.substr(0, head_end).find("Connection: close") != std::string::npos;
        m_seen.line("client gets the answer to %s: %s%s", id(number).c_str(),
                    input.substr(9, 3).c_str(), closes ? ", Connection: close" : "");
        input.erase(0, size);
        return true;
    }

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
         {{{"name", "catalogue"},
           {"host", "h.example"},
           {"path_prefix", "/catalogue/"},
           {"kind", "idempotent"},
           {"timeout_ms", 8000},
           {"goal_ms", 1000},
           {"priority", 2},
           {"service", service_name},
           {"attempts", 2},
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
    server catalogue("i-1", service_name, "v1", seen,
                     server::behaviour{.work = work, .error_share = 0}, nullptr);
    platform.put("keyed.servers", catalogue.id(), catalogue.entry());
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
    std::vector<std::unique_ptr<pipelining_client>> clients;
    for (int i = 1; i <= client_count; ++i) {
        clients.push_back(std::make_unique<pipelining_client>(i, machine.front_port(), seen));
        if (!clients.back()->is_connected() || clients.back()->look_up(1) != 0)
            return 2;
    }
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (auto& each : clients)
        threads.emplace_back([&lost, &each] { lost += each->look_up(3); });
    sleep_s(sigterm_after_s);
    if (with_sigterm) {
        seen.line("%s gets SIGTERM", machine.name().c_str());
        machine.signal(SIGTERM);
    }
    for (std::thread& each : threads)
        each.join();
    seen.line("%d of %d look-ups were read and got no answer", lost.load(), client_count * 3);
    seen.line("LOST %s", lost > 0 ? "is broken" : "holds");
    return lost > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "Usage: pipeline_case RECORD DIRECTORY\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::record seen(argv[1]);
    if (!seen.is_open())
        return 2;
    const char* trouble = std::getenv("TROUBLE");
    return review::run(argv[2], trouble == nullptr || std::string(trouble) != "0", seen);
}
