// A server crashes while it answers long requests that it hasn't read whole yet. Its answers have no
// length. See claim.txt.
#include "harness.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <unistd.h>

using nlohmann::json;
using namespace review;

namespace {

constexpr std::size_t request_bytes = 4 * 1000 * 1000;
constexpr std::size_t answer_bytes = 4000;
constexpr int server_count = 4;
constexpr int client_count = 24;
constexpr double traffic_s = 10;
constexpr double crash_after_s = 5;

// In the process of a server: its id.
std::string server_id;

// An application that takes uploads: it sends the first half of its answer as soon as it has read the
// head, reads the upload a second later, sends the other half and ends the answer with its connection.
void serve(connection caller)
{
    std::string head;
    if (!caller.receive_head(head))
        return;
    const std::string id = field(head, "Request-Id");
    record("server " + server_id + ": runs request " + id);
    const std::string answer = pattern(id, answer_bytes);
    if (!caller.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s." + id +
                     "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" +
                     answer.substr(0, answer_bytes / 2)))
        return;
    sleep_s(1);
    std::string body;
    if (!caller.receive_exactly(body, request_bytes) || !caller.send(answer.substr(answer_bytes / 2)))
        return;
    record("server " + server_id + ": has read request " + id + " and sent its whole answer");
}

int run_server(const std::string& record_path, const std::string& id)
{
    server_id = id;
    signal(SIGPIPE, SIG_IGN);
    open_record(record_path, false);
    // A usual segment size; that of the loopback device would let the kernel buffer megabytes.
    listener server(serve, {.receive_buffer = 64 * 1024, .max_segment = 1448});
    std::printf("%d\n", server.port());
    std::fflush(stdout);
    while (true)
        pause();
}

struct counts
{
    std::atomic<int> whole{0};
    std::atomic<int> failed{0};
    std::atomic<int> broken{0};
};

void send_request(const std::string& id, int port, counts& seen)
{
    connection link = connect_to(port);
    link.set_receive_timeout(15);
    std::string head;
    std::string body;
    if (!link.send("POST /uploads/photo HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id +
                   "\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\nContent-Length: " +
                   std::to_string(request_bytes) + "\r\n\r\n" + pattern("body-" + id, request_bytes)) ||
        !link.receive_head(head))
        head.clear();
    const std::string length = field(head, "Content-Length");
    const bool framed = !length.empty() && link.receive_exactly(body, std::stoul(length));
    const bool success = status_of(head) / 100 == 2;
    const bool whole = body == pattern(id, answer_bytes);
    record("client: request " + id + " is answered with " + std::to_string(status_of(head)) +
           ", Content-Length " + length + ", Server-Stamp '" + field(head, "Server-Stamp") + "', " +
           (!success  ? "no success"
            : whole   ? "the server's whole body"
            : framed  ? "A COMPLETE MESSAGE WITH PART OF THE SERVER'S BODY"
                      : "a message that is not complete"));
    ++(!success ? seen.failed : whole ? seen.whole : framed ? seen.broken : seen.failed);
}

} // namespace

int main(int argc, char** arguments)
{
    if (argc == 3)
        return run_server(arguments[1], arguments[2]);
    begin(arguments[1]);
    platform store;
    store.put_config(
        {{"version", 1},
         {"routes",
          {{{"name", "uploads"}, {"host", "app.example"}, {"path_prefix", "/uploads/"},
            {"kind", "unsafe"}, {"timeout_ms", 15000}, {"goal_ms", 1000}, {"priority", 1},
            {"service", "app"}, {"attempts", 1}}}},
         {"services", {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 110}}}},
         {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
                     {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
         {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}}});
    std::vector<std::unique_ptr<child>> servers;
    for (int i = 1; i <= server_count; ++i) {
        servers.push_back(std::make_unique<child>("i-" + std::to_string(i), arguments[1]));
        store.add_server("i-" + std::to_string(i),
                         {{"service", "app"},
                          {"addr", "127.0.0.1:" + std::to_string(servers.back()->port())},
                          {"zone", "z1"}, {"version", "1"}, {"slots", 12},
                          {"state", "ready"}, {"cold_left_ms", 0}, {"born", 1}});
    }
    const auto nodes = start_nodes(3, store);
    const std::vector<int> fronts = resolve(nodes[0]->directory_port());
    if (fronts.size() != 3)
        cannot_run("the directory doesn't list three nodes");
    counts seen;
    const double start_at = now_s();
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back([&, i] {
            // Pauses of 0 to 0.6 s keep the clients out of step.
            std::mt19937 random(static_cast<unsigned>(i));
            std::uniform_real_distribution<double> pause_s(0, 0.6);
            for (int n = 0; now_s() < start_at + traffic_s; ++n) {
                sleep_s(pause_s(random));
                send_request("u" + std::to_string(i + 1) + "-" + std::to_string(n),
                             fronts[static_cast<std::size_t>(i + n) % fronts.size()], seen);
            }
        });
    sleep_until_s(start_at + crash_after_s);
    if (with_trouble()) {
        record("servers: i-1 CRASHES (SIGKILL to its process), one of " + std::to_string(server_count));
        servers[0]->kill_now();
    }
    for (std::thread& client : clients)
        client.join();
    if (seen.whole == 0)
        cannot_run("no request was served");
    record(std::to_string(seen.whole) + " requests got the whole answer, " +
           std::to_string(seen.failed) + " none, " + std::to_string(seen.broken) +
           " a part of it as a complete success");
    record(seen.broken > 0 ? "MIXED is broken" : "MIXED held");
    std::fflush(nullptr);
    return seen.broken > 0 ? 1 : 0;
}
