// No case of the review, see "Found, but no case" in review/REPORT-3.md.
//
// One entry node and COUNT servers of one service. Callers make the node open connections to all of
// them. The node is stopped for 0.2 s; meanwhile one more request arrives, and then the servers reset
// their idle connections. Exits with 1 if the process then ends by a signal.
#include "clients.hpp"
#include "nodes.hpp"
#include "orders_config.hpp"
#include "store.hpp"

#include <algorithm>
#include <fstream>
#include <mutex>

using namespace review; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int callers_per_server = 2;
constexpr int work_ms = 200;

sockaddr_in make_address(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listen_at(const std::string& ip)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = make_address(ip, server_port);
    const bool is_bound =
        bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(listener, 64) == 0;
    return is_bound ? listener : -1;
}

/// The servers' sides of all connections.
class connection_list
{
public:
    void add(int socket)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sockets.push_back(socket);
    }

    int reset_all()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int socket : m_sockets) {
            const linger at_once{.l_onoff = 1, .l_linger = 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            // Ends the thread that reads, which closes the socket.
            shutdown(socket, SHUT_RD);
        }
        return static_cast<int>(m_sockets.size());
    }

private:
    std::mutex m_mutex;
    std::vector<int> m_sockets;
};

void serve_connection(int socket, connection_list& all)
{
    all.add(socket);
    char buffer[4096];
    ssize_t received = 0;
    while ((received = recv(socket, buffer, sizeof buffer, 0)) > 0) {
        const std::string head(buffer, static_cast<std::size_t>(received));
        const std::size_t begin = head.find("Request-Id: ") + sizeof("Request-Id: ") - 1;
        sleep_ms(work_ms);
        const std::string text =
            "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nKeep-Alive: timeout=10\r\n" +
            ("Request-Id: " + head.substr(begin, head.find('\r', begin) - begin)) +
            "\r\nContent-Length: 4\r\n\r\ndone";
        (void)!send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    }
    close(socket);
}

int connect_caller(const std::string& ip)
{
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = make_address(ip, front_port);
    return connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
               ? caller
               : -1;
}

void send_request(int caller, int number)
{
    const std::string text = "POST /orders/new HTTP/1.1\r\nHost: " + std::string(caller_host) +
                             "\r\nRequest-Id: q" + std::to_string(number) +
                             "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer " + caller_key +
                             "\r\nContent-Length: 0\r\n\r\n";
    (void)!send(caller, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: resets COUNT FOLDER RECORD\n");
        return 2;
    }
    const int server_count = std::stoi(argv[1]);
    const std::string network = pick_network();
    std::ofstream record(argv[3]);
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", orders_config(4, false).dump());
    connection_list connections;
    for (int i = 0; i < server_count; ++i) {
        const std::string ip = network + ".5." + std::to_string(i + 1);
        const int listener = listen_at(ip);
        if (listener < 0)
            return 2;
        std::thread([listener, &connections] {
            while (true) {
                const int socket = accept(listener, nullptr, nullptr);
                std::thread(serve_connection, socket, std::ref(connections)).detach();
            }
        }).detach();
        platform.put("keyed.servers", "i-" + std::to_string(i),
                     json{{"service", "booking"},
                          {"addr", ip + ":" + std::to_string(server_port)},
                          {"zone", "zone-0"},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"born", 1700000000000 + i},
                          {"seq", 1}}
                         .dump());
    }
    node_group nodes(network, argv[2], 1);
    nodes.start_all();
    if (!nodes.wait_ready(20))
        return 2;
    sleep_ms(1000);
    std::vector<int> callers;
    for (int i = 0; i < server_count * callers_per_server; ++i) {
        callers.push_back(connect_caller(nodes.ip(0)));
        send_request(callers.back(), i);
    }
    sleep_ms(3 * work_ms);
    nodes.signal_node(0, SIGSTOP);
    sleep_ms(50);
    send_request(callers.front(), server_count * callers_per_server);
    sleep_ms(50);
    const int reset = connections.reset_all();
    sleep_ms(100);
    nodes.signal_node(0, SIGCONT);
    sleep_ms(1000);
    const int signal = nodes.ending_signal(0);
    record << "servers: " << server_count << "; connections reset: " << reset << "\n"
           << (signal != 0 ? "the process has ended by signal " + std::to_string(signal)
                           : std::string("the process has gone on"))
           << "\n";
    record.close();
    if (signal == 0)
        nodes.kill_all();
    _exit(signal != 0 ? 1 : 0);
}
