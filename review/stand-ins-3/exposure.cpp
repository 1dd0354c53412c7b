// Roll-outs of a bad version (rule EXPOSURE):
//   hang   the new version leaves part of its streams without an answer
//   grey   the servers of the old version fail part of their requests for four seconds
//   route  the new version fails all requests of a route with little traffic
//   split  the service gets a small part of a route, and the new version turns bad after six seconds
//
// Three entry nodes, a store, servers, clients, and a roll-out. Counted is what the servers see from
// the order to its deadline. Without TROUBLE the new version answers the same streams with 500
// (hang), the old servers stay sound (grey), the new version is sound (route), or the route isn't
// split (split).
#include "clients.hpp"
#include "nodes.hpp"
#include "orders_config.hpp"
#include "server.hpp"
#include "store.hpp"

#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>

using namespace review; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct scenario
{
    int requests_per_second = 0;
    int rollout_seconds = 12;
    bool streaming = false;
    /// Failing requests of the target version get no answer instead of an error.
    bool target_hangs = false;
    /// Weight of the service in the route, of 100.
    int weight = 100;
    /// The target version fails this share of its requests from this time after its start on.
    double target_failing = 0;
    double target_good_seconds = 0;
    /// The target version fails all requests of the route /fees/, which gets this many a second.
    int fees_per_second = 0;
    /// The old version's servers fail this share of their requests in a time after the order.
    double old_failing = 0;
    double old_fails_from = 0;
    double old_fails_until = 0;
};

scenario pick_scenario(const std::string& name)
{
    if (name == "grey")
        return {.requests_per_second = 140,
                .target_failing = 0.2,
                .old_failing = has_trouble() ? 0.45 : 0,
                .old_fails_from = 0.5,
                .old_fails_until = 4.5};
    if (name == "hang")
        return {.requests_per_second = 140,
                .rollout_seconds = 20,
                .streaming = true,
                .target_hangs = has_trouble(),
                .target_failing = 0.3};
    if (name == "route")
        return {.requests_per_second = 140, .fees_per_second = 3};
    return {.requests_per_second = 240,
            .weight = has_trouble() ? 5 : 100,
            .target_failing = 0.4,
            .target_good_seconds = 6};
}

constexpr int node_count = 3;
// A client leaves a stream after a gap of 2 s: the longest of 2 s, 4 x goal_ms and 8 x gap_aim_ms.
constexpr int stream_patience_s = 2;
constexpr int hang_ms = 2500;
constexpr double expose_share = 0.1;
constexpr double expose_slack = 50;
constexpr double rollback_seconds = 5;

/// What the servers of the service in the roll-out see.
class exposure_count
{
public:
    explicit exposure_count(int rollout_seconds) : m_rollout_seconds(rollout_seconds) {}

    void begin()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ordered_at = std::chrono::steady_clock::now();
        m_counting = true;
    }

    /// Seconds since the order; negative before it.
    double age()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_counting ? seconds_since(m_ordered_at) : -1;
    }

    bool draw(double share)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::uniform_real_distribution<>()(m_random) < share;
    }

    void on_request(bool is_target, bool fails, double at)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (at < 0)
            return;
        if (at < m_rollout_seconds) {
            ++m_service_requests;
            m_target_requests += is_target ? 1 : 0;
        }
        if (!is_target)
            return;
        if (fails && ++m_target_bad == 50)
            m_fiftieth_bad_at = at;
        // 0.2 s for the way of a request that was sent before.
        if (m_fiftieth_bad_at >= 0 && at > m_fiftieth_bad_at + rollback_seconds + 0.2)
            ++m_target_late;
    }

    bool is_conclusive() const { return m_service_requests >= 60; }

    /// The rule is about bad versions only.
    bool is_broken() const
    {
        return m_target_bad > 0 &&
               (m_target_requests > expose_share * m_service_requests + expose_slack ||
                m_target_late > 0);
    }

    void write(std::ostream& out) const
    {
        out << "requests that reached booking from the order to its deadline: "
            << m_service_requests << "\n"
            << "of these at v2: " << m_target_requests
            << "; allowed: " << expose_share * m_service_requests + expose_slack << "\n"
            << "bad answers of v2: " << m_target_bad << "; the 50th after " << m_fiftieth_bad_at
            << " s; requests at v2 more than 5 s after the 50th: " << m_target_late << "\n"
            << "EXPOSURE " << (is_broken() ? "broken" : "held") << "\n";
    }

private:
    std::mutex m_mutex;
    std::mt19937 m_random{7};
    std::chrono::steady_clock::time_point m_ordered_at;
    bool m_counting = false;
    int m_rollout_seconds;
    int m_service_requests = 0;
    int m_target_requests = 0;
    int m_target_bad = 0;
    int m_target_late = 0;
    double m_fiftieth_bad_at = -1;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: exposure hang|grey|route|split FOLDER RECORD\n");
        return 2;
    }
    const scenario played = pick_scenario(argv[1]);
    const std::string network = pick_network();
    std::ofstream record(argv[3]);
    record << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", orders_config(4, 100, played.streaming).dump());

    exposure_count counts(played.rollout_seconds);
    std::vector<std::unique_ptr<server>> servers;
    const auto add_server = [&](const std::string& service, const std::string& version, int zone) {
        const int number = static_cast<int>(servers.size()) + 1;
        servers.push_back(std::make_unique<server>(
            platform, server::identity{.id = "i-" + std::to_string(number) + "-" + service,
                                       .service = service,
                                       .version = version,
                                       .zone = "zone-" + std::to_string(zone),
                                       .host = network + ".5." + std::to_string(number),
                                       .threads = played.streaming ? 160 : 32}));
        server& added = *servers.back();
        added.handler = [&, service, version, started = std::chrono::steady_clock::now()](
                            const httplib::Request& request, httplib::Response& response) {
            sleep_ms(30);
            const double at = counts.age();
            const bool is_target = service == "booking" && version == "v2";
            bool fails = false;
            if (is_target && seconds_since(started) >= played.target_good_seconds)
                fails = counts.draw(played.target_failing);
            if (is_target && request.path.rfind("/fees/", 0) == 0)
                fails = has_trouble();
            if (service == "booking" && !is_target && at >= played.old_fails_from &&
                at < played.old_fails_until)
                fails = counts.draw(played.old_failing);
            if (service == "booking")
                counts.on_request(is_target, fails, at);
            if (fails && is_target && played.target_hangs) {
                sleep_ms(hang_ms);
                response.status = 500;
                return;
            }
            response.status = fails ? 500 : 200;
            if (!fails && played.streaming)
                answer_stream(response);
            else
                response.set_content(version + " done", "text/plain");
        };
        return added.start();
    };
    for (int zone = 0; zone < node_count; ++zone)
        if (!add_server("booking", "v1", zone) || !add_server("booking-next", "v1", zone))
            return 2;

    node_group nodes(network, argv[2], node_count);
    nodes.start_all();
    if (!nodes.wait_ready(20)) {
        record << "the nodes are not ready\n";
        return 2;
    }
    sleep_ms(2000);
    client_group clients(nodes, {.requests_per_second = played.requests_per_second,
                                 .clients = played.streaming ? 150 : 24,
                                 .deadline_ms = played.streaming ? "15000" : "3000",
                                 .patience_s = played.streaming ? stream_patience_s : 5});
    std::unique_ptr<client_group> fees;
    if (played.fees_per_second > 0)
        fees = std::make_unique<client_group>(
            nodes, client_group::options{.requests_per_second = played.fees_per_second,
                                         .clients = 3,
                                         .path = "/fees/pay",
                                         .id_prefix = 0x20000000});
    sleep_ms(4000);
    if (played.weight < 100) {
        platform.put("keyed.op", "config",
                     orders_config(5, played.weight, played.streaming).dump());
        record << "configuration 5: " << played.weight
               << " of 100 requests of the route go to booking\n";
    }
    sleep_ms(8000);
    for (int zone = 0; zone < node_count; ++zone)
        if (!add_server("booking", "v2", zone))
            return 2;
    counts.begin();
    platform.put(
        "keyed.op", "rollout/booking",
        json{{"service", "booking"}, {"target", "v2"}, {"duration_s", played.rollout_seconds}}
            .dump());
    record << "ordered: roll-out of booking v2 in " << played.rollout_seconds << " s\n";
    if (played.fees_per_second == 0)
        record << "v2 " << (played.target_hangs ? "leaves unanswered " : "answers with 500 ")
               << 100 * played.target_failing << " of 100 requests from "
               << played.target_good_seconds << " s after its start on\n";
    else if (has_trouble())
        record << "v2 answers all requests of the route /fees/ with 500\n";
    if (played.old_failing > 0)
        record << "v1 fails " << 100 * played.old_failing << " of 100 requests from "
               << played.old_fails_from << " s to " << played.old_fails_until
               << " s after the order\n";
    const auto set_phase = [&](const std::string& name) {
        clients.set_phase(name);
        if (fees)
            fees->set_phase(name);
    };
    set_phase("during the roll-out");
    std::string state;
    while (counts.age() < played.rollout_seconds + 8) {
        const std::string text = platform.newest("keyed.status", "rollout/booking");
        const std::string newest = text.empty() ? "" : json::parse(text).value("state", "");
        if (newest != state) {
            state = newest;
            record << "after " << counts.age() << " s: status " << state << "\n";
            if (state != "running")
                set_phase("after " + state);
            // The pages: at `done`, the old servers stop immediately, without draining.
            if (state == "done")
                for (const auto& each : servers)
                    if (each->self().service == "booking" && each->self().version == "v1")
                        each->stop();
        }
        sleep_ms(50);
    }
    clients.stop();
    clients.write(record);
    if (fees) {
        fees->stop();
        record << "route /fees/: ";
        fees->write(record);
    }
    counts.write(record);
    nodes.kill_all();
    for (const auto& each : servers)
        each->stop();
    if (!counts.is_conclusive())
        return 2;
    return counts.is_broken() ? 1 : 0;
}
