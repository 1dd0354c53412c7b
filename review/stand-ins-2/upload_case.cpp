// Bookings with bodies of the largest size that `limits` allows, and a burst of them.
//
// Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
#include "node.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr const char* service_name = "anmeldung";
constexpr std::size_t body_bytes = 4'190'000;
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr int usual_clients = 9;
// A `burst` of the site file: 1.7 times the usual traffic for 3 s.
constexpr int burst_clients = 15;
constexpr double usual_s = 12;
constexpr double burst_s = 3;
constexpr double after_burst_s = 6;
constexpr std::chrono::milliseconds work{2000};
constexpr std::chrono::milliseconds small_work{100};
// "more than three times" break the rule.
constexpr int allowed = 3;

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What became of the requests that were sent on kept connections.
struct counts
{
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> closed_before_run = 0;
    std::atomic<int> closed_after_run = 0;
    std::atomic<int> on_new_connection = 0;
};

/// A client that sends one booking after the other on a connection that it keeps open. The first one
/// on a connection is small.
class uploader
{
public:
    uploader(int number, int port, record& seen, run_log& runs, counts& results)
        : m_number(number),
          m_port(port),
          m_seen(seen),
          m_runs(runs),
          m_results(results),
          m_thread([this] { run(); })
    {}
    ~uploader()
    {
        m_stopping = true;
        m_thread.join();
    }
    uploader(const uploader&) = delete;
    uploader& operator=(const uploader&) = delete;

    /// The client sends no further request.
    void request_stop() { m_stopping = true; }

private:
    void run()
    {
        const std::string large(body_bytes, 'b');
        const std::string small = "booking";
        std::unique_ptr<httplib::Client> kept;
        bool has_served = false;
        while (!m_stopping) {
            if (!kept) {
                kept = std::make_unique<httplib::Client>(loopback, m_port);
                kept->set_keep_alive(true);
                kept->set_connection_timeout(1);
                kept->set_write_timeout(15);
                kept->set_read_timeout(15);
                has_served = false;
            }
            const std::string id = "u" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
            const httplib::Headers headers{{"Host", "h.example"},
                                           {"Request-Id", id},
                                           {"Deadline-Ms", "15000"},
                                           {"Authorization", "Bearer key"}};
            m_seen.line("client %s books on a %s connection, %zu bytes", id.c_str(),
                        has_served ? "kept" : "new", has_served ? large.size() : small.size());
            const httplib::Result answer =
                kept->Post("/booking/1", headers, has_served ? large : small, "text/plain");
            if (answer) {
                m_seen.line("client %s gets %d", id.c_str(), answer->status);
                ++(answer->status == 503 || answer->status == 429 ? m_results.refused
                                                                  : m_results.answered);
                has_served = true;
                if (answer->status != 200) {
                    if (answer->get_header_value("Connection") == "close")
                        kept.reset();
                    sleep_s(0.5);
                }
                continue;
            }
            const bool has_run = m_runs.has(id);
            m_seen.line("client %s gets no answer: the connection was closed; the request %s",
                        id.c_str(), has_run ? "had reached a server" : "had not reached a server");
            if (!has_served)
                ++m_results.on_new_connection;
            else
                ++(has_run ? m_results.closed_after_run : m_results.closed_before_run);
            kept.reset();
            sleep_s(0.5);
        }
    }

    int m_number;
    int m_port;
    record& m_seen;
    run_log& m_runs;
    counts& m_results;
    int m_sent = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
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
           {"goal_ms", 5000},
           {"priority", 2},
           {"service", service_name},
           {"attempts", 1},
           {"public", false}}}},
        {"services", {{{"name", service_name}, {"health_path", "/health"}, {"max_conns", 110}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", max_body_bytes},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", {{{"name", "clubs"}, {"api_keys", {"key"}}, {"priority", 1}}}}}
        .dump();
}

int run(const std::string& directory, bool with_burst, record& seen)
{
    store platform([](const std::string&, const std::string&) {});
    run_log runs;
    platform.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < 3; ++i)
        servers.push_back(std::make_unique<server>(
            "i-" + std::to_string(i), service_name, "v1", seen,
            server::behaviour{.work = work, .small_work = small_work, .error_share = 0}, &runs));
    std::atomic<bool> stopping = false;
    std::thread beats([&] {
        while (!stopping) {
            for (auto& each : servers)
                platform.put("keyed.servers", each->id(), each->entry());
            sleep_s(1.2);
        }
    });
    int result = 2;
    {
        node machine(
            {.name = "front-zuerich-a-1", .directory = directory, .store = platform.address()});
        machine.write_settings({machine.control()}, true);
        machine.start();
        for (int i = 0; i < 200 && !machine.is_ready(); ++i)
            sleep_s(0.1);
        if (machine.is_ready()) {
            counts results;
            std::vector<std::unique_ptr<uploader>> clients;
            for (int i = 1; i <= usual_clients; ++i)
                clients.push_back(
                    std::make_unique<uploader>(i, machine.front_port(), seen, runs, results));
            sleep_s(usual_s);
            const int usual = results.closed_after_run;
            seen.line(
                "after %.0f s with %d clients: %d connections closed without an answer after the "
                "request had reached a server",
                usual_s, usual_clients, usual);
            std::vector<std::unique_ptr<uploader>> guests;
            if (with_burst) {
                seen.line("burst: %d clients for %.0f s", burst_clients, burst_s);
                for (int i = usual_clients + 1; i <= burst_clients; ++i)
                    guests.push_back(
                        std::make_unique<uploader>(i, machine.front_port(), seen, runs, results));
            }
            int most_mb = 0;
            for (const double end = seen.now() + burst_s; seen.now() < end; sleep_s(0.1))
                most_mb = std::max(most_mb, machine.resident_mb());
            seen.line("resident memory of the process: at most %d MB of its 260 MB", most_mb);
            for (auto& each : guests)
                each->request_stop();
            guests.clear();
            seen.line("end of the burst");
            sleep_s(after_burst_s);
            const bool still_runs = machine.is_running();
            for (auto& each : clients)
                each->request_stop();
            clients.clear();
            seen.line(
                "answered %d, refused %d, closed on a kept connection without an answer: %d after "
                "the "
                "request had reached a server, %d before; on a new connection: %d; the process %s",
                results.answered.load(), results.refused.load(), results.closed_after_run.load(),
                results.closed_before_run.load(), results.on_new_connection.load(),
                still_runs ? "runs" : "has ended");
            const bool broken = results.closed_after_run > allowed;
            seen.line("LOST %s", broken ? "is broken" : "holds");
            result = results.answered == 0 ? 2 : broken ? 1 : 0;
        }
    }
    stopping = true;
    beats.join();
    return result;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "Usage: upload_case RECORD DIRECTORY\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::record seen(argv[1]);
    if (!seen.is_open())
        return 2;
    const char* trouble = std::getenv("TROUBLE");
    return review::run(argv[2], trouble == nullptr || std::string(trouble) != "0", seen);
}
