// Case: HEAD requests to a route of streams, on kept connections (rule MIXED).
//
// Three entry nodes, a store, three servers of streams and clients. Each client sends a HEAD request
// (TROUBLE=1 only) and then a POST request on one connection, the second after the answer to the
// first has come in and a pause. Counted are the clients that get bytes while no request waits, or
// other bytes than an answer to their second request.
#include "clients.hpp"
#include "nodes.hpp"
#include "orders_config.hpp"
#include "server.hpp"
#include "store.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <fstream>
#include <memory>

using namespace review; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int node_count = 3;
constexpr int client_count = 30;
constexpr int pause_ms = 300;
constexpr int answer_ms = 3000;

class raw_client
{
public:
    explicit raw_client(const std::string& node) : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(front_port);
        inet_pton(AF_INET, node.c_str(), &remote.sin_addr);
        m_connected =
            connect(m_socket, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0;
    }
    ~raw_client() { close(m_socket); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    bool is_connected() const { return m_connected; }

    void send_request(const std::string& method, const std::string& id)
    {
        const std::string body = method == "POST" ? "one stand" : "";
        std::string text =
            method + " /orders/new HTTP/1.1\r\nHost: " + caller_host + "\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 15000\r\nAuthorization: " + "Bearer " + caller_key + "\r\n";
        if (method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        (void)!write(m_socket, text.data(), text.size());
    }

    /// Reads until the text ends with `end`, or for `ms`.
    std::string read_until(const std::string& end, int ms)
    {
        std::string text;
        const auto start = std::chrono::steady_clock::now();
        while (end.empty() || text.size() < end.size() ||
               text.compare(text.size() - end.size(), end.size(), end) != 0) {
            const int left = ms - static_cast<int>(1000 * seconds_since(start));
            pollfd ready{.fd = m_socket, .events = POLLIN, .revents = 0};
            if (left <= 0 || poll(&ready, 1, left) <= 0)
                break;
            char byte = 0;
            // A byte at a time, so that nothing beyond the end is taken.
            if (recv(m_socket, &byte, 1, 0) != 1)
                break;
            text += byte;
        }
        return text;
    }

private:
    int m_socket;
    bool m_connected = false;
};

std::string printable(const std::string& text)
{
    std::string out;
    for (const char c : text.substr(0, 60))
        out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: head FOLDER RECORD\n");
        return 2;
    }
    const std::string network = pick_network();
    std::ofstream record(argv[2]);
    record << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", orders_config(4, 100, true).dump());
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < node_count; ++i) {
        servers.push_back(std::make_unique<server>(
            platform, server::identity{.id = "i-" + std::to_string(i),
                                       .service = "booking",
                                       .version = "v1",
                                       .zone = "zone-" + std::to_string(i),
                                       .host = network + ".5." + std::to_string(i + 1)}));
        servers.back()->handler = [](const httplib::Request&, httplib::Response& response) {
            answer_stream(response);
        };
        if (!servers.back()->start())
            return 2;
    }
    node_group nodes(network, argv[1], node_count);
    nodes.start_all();
    if (!nodes.wait_ready(20)) {
        record << "the nodes are not ready\n";
        return 2;
    }
    sleep_ms(2000);
    int answered = 0;
    int unasked_bytes = 0;
    int wrong_answers = 0;
    for (int i = 0; i < client_count; ++i) {
        raw_client client(nodes.ip(i % node_count));
        if (!client.is_connected())
            continue;
        const std::string id = "c" + std::to_string(i);
        std::string unasked;
        if (has_trouble()) {
            client.send_request("HEAD", id + "a");
            const std::string head = client.read_until("\r\n\r\n", answer_ms);
            // The answer to a HEAD request ends with its head.
            const bool stays = i % 2 == 0;
            if (stays)
                unasked = client.read_until("", pause_ms);
            if (i < 2)
                record << "HEAD " << id << "a is answered: " << printable(head) << "\n";
        }
        unasked_bytes += unasked.empty() ? 0 : 1;
        client.send_request("POST", id + "b");
        const std::string head = client.read_until("\r\n\r\n", answer_ms);
        const bool is_answer = head.rfind("HTTP/1.1 200 ", 0) == 0 &&
                               head.find("Request-Id: " + id + "b") != std::string::npos;
        if (is_answer &&
            client.read_until("0\r\n\r\n", answer_ms).find("id: 10\n") != std::string::npos)
            ++answered;
        else
            ++wrong_answers;
        if (i < 2)
            record << "client " << i << ": bytes while no request waits: \"" << printable(unasked)
                   << "\"; then the answer to POST " << id << "b begins with: \"" << printable(head)
                   << "\"\n";
    }
    const bool is_broken = unasked_bytes + wrong_answers > 0;
    record << "clients: " << client_count
           << "; got bytes while no request waited: " << unasked_bytes
           << "; got other bytes than an answer at the place of their second answer: "
           << wrong_answers << "; second answers that were whole: " << answered << "\n"
           << "MIXED " << (is_broken ? "broken" : "held") << "\n";
    nodes.kill_all();
    for (const auto& each : servers)
        each->stop();
    if (answered + wrong_answers < client_count)
        return 2;
    return is_broken ? 1 : 0;
}
