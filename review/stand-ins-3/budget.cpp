// Repeats of idempotent requests at the start of a disruption (rule BUDGET).
//
// Three entry nodes, a store, six servers of one service and clients. For 6.5 s all servers fail a
// part of their requests (TROUBLE=1 only). Counted are the arrivals at the servers beyond the first
// of each request, in each span of 10 s.
#include "clients.hpp"
#include "nodes.hpp"
#include "server.hpp"
#include "store.hpp"

#include <algorithm>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <set>

using namespace review; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int node_count = 3;
constexpr int server_count = 6;
constexpr int requests_per_second = 200;
constexpr double failing_share = 0.45;
constexpr double fails_from = 40;
constexpr double fails_until = 46.5;
constexpr double run_seconds = 58;
constexpr double retry_ratio = 0.2;
constexpr double retry_window = 10;
constexpr double retry_slack = 58;

json config()
{
    return {{"version", 4},
            {"routes",
             {{{"name", "r-lookup"},
               {"host", caller_host},
               {"path_prefix", "/lookup/"},
               {"kind", "idempotent"},
               {"timeout_ms", 1500},
               {"goal_ms", 200},
               {"priority", 0},
               {"attempts", 3},
               {"public", false},
               {"service", "booking"}}}},
            {"services", {{{"name", "booking"}, {"health_path", "/health"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", {caller_key}}, {"priority", 1}}}}};
}

/// Arrivals at all servers, in the sequence of their times.
class arrival_log
{
public:
    bool draw(double share)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::uniform_real_distribution<>()(m_random) < share;
    }

    void add(const std::string& request, double at)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        (m_seen.insert(request).second ? m_first : m_repeated).push_back(at);
    }

    /// Writes the span with the most repeats beyond what is allowed; returns whether there is one.
    bool judge(std::ostream& out)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto count = [](const std::vector<double>& times, double begin) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](double at) {
                return at >= begin && at < begin + retry_window;
            }));
        };
        double worst = -1e9;
        double worst_begin = 0;
        for (double begin = 0; begin < run_seconds; begin += 0.1) {
            const double requests =
                std::max({count(m_first, begin), count(m_first, begin - retry_window),
                          count(m_first, begin - retry_window / 2)});
            const double over = count(m_repeated, begin) - (retry_ratio * requests + retry_slack);
            if (over > worst) {
                worst = over;
                worst_begin = begin;
            }
        }
        const double requests =
            std::max({count(m_first, worst_begin), count(m_first, worst_begin - retry_window),
                      count(m_first, worst_begin - retry_window / 2)});
        out << "first arrivals: " << m_first.size() << "; repeats: " << m_repeated.size() << "\n"
            << "worst span of 10 s begins at " << worst_begin << " s: " << requests << " requests, "
            << count(m_repeated, worst_begin)
            << " repeats; allowed: " << retry_ratio * requests + retry_slack << "\n"
            << "BUDGET " << (worst > 0 ? "broken" : "held") << "\n";
        return worst > 0;
    }

    std::size_t requests() const { return m_first.size(); }

private:
    std::mutex m_mutex;
    std::mt19937 m_random{7};
    std::set<std::string> m_seen;
    std::vector<double> m_first;
    std::vector<double> m_repeated;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: budget FOLDER RECORD\n");
        return 2;
    }
    const std::string network = pick_network();
    std::ofstream record(argv[2]);
    record << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", config().dump());

    arrival_log arrivals;
    auto started = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < server_count; ++i) {
        servers.push_back(std::make_unique<server>(
            platform, server::identity{.id = "i-" + std::to_string(i),
                                       .service = "booking",
                                       .version = "v1",
                                       .zone = "zone-" + std::to_string(i % node_count),
                                       .host = network + ".5." + std::to_string(i + 1)}));
        servers.back()->handler = [&](const httplib::Request& request,
                                      httplib::Response& response) {
            const double at = seconds_since(started);
            arrivals.add(request.get_header_value("Request-Id"), at);
            sleep_ms(30);
            const bool fails = has_trouble() && at >= fails_from && at < fails_until &&
                               arrivals.draw(failing_share);
            response.status = fails ? 500 : 200;
            response.set_content("stands 4 to 9", "text/plain");
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
    started = std::chrono::steady_clock::now();
    client_group clients(
        nodes,
        {.requests_per_second = requests_per_second, .method = "GET", .path = "/lookup/stands"});
    if (has_trouble())
        record << "all servers fail " << 100 * failing_share << " of 100 requests from "
               << fails_from << " s to " << fails_until << " s\n";
    while (seconds_since(started) < run_seconds)
        sleep_ms(100);
    clients.stop();
    clients.write(record);
    nodes.kill_all();
    for (const auto& each : servers)
        each->stop();
    const bool is_broken = arrivals.judge(record);
    if (arrivals.requests() < 1000)
        return 2;
    return is_broken ? 1 : 0;
}
