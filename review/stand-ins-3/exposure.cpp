// Roll-outs of a bad version (rule EXPOSURE):
//   hang    the new version leaves part of its streams without an answer
//   cancel  the operator orders the old version again while the roll-out runs
//   grey    the servers of the old version fail part of their requests for four seconds
//
// Three entry nodes, a store, servers, clients, and a roll-out. Counted is what the servers see from
// the order of the bad version to its deadline. Without TROUBLE the new version answers the same
// streams with 500 (hang), the operator waits (cancel), or the old servers stay sound (grey).
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
    /// The target version fails this share of its requests.
    double target_failing = 0;
    /// The operator orders the old version this long after the new one; never if 0.
    double cancel_after = 0;
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
                .old_fails_from = 2,
                .old_fails_until = 6};
    if (name == "hang")
        return {.requests_per_second = 140,
                .rollout_seconds = 20,
                .streaming = true,
                .target_hangs = has_trouble(),
                .target_failing = 0.3};
    return {
        .requests_per_second = 140, .target_failing = 0.2, .cancel_after = has_trouble() ? 4.0 : 0};
}

constexpr int node_count = 3;
// The servers of the new version are listed this long after the order.
constexpr int server_start_ms = 500;
// A client leaves a stream after a gap of 2 s: the longest of 2 s, 4 x goal_ms and 8 x gap_aim_ms.
constexpr int stream_patience_s = 2;
constexpr int hang_ms = 2500;
constexpr int work_ms = 30;
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
        std::fprintf(stderr, "usage: exposure hang|cancel|grey FOLDER RECORD\n");
        return 2;
    }
    const scenario played = pick_scenario(argv[1]);
    const std::string network = pick_network();
    std::ofstream record(argv[3]);
    record << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", orders_config(4, played.streaming).dump());

    exposure_count counts(played.rollout_seconds);
    std::vector<std::unique_ptr<server>> servers;
    const auto add_server = [&](const std::string& version, int zone) {
        const int number = static_cast<int>(servers.size()) + 1;
        servers.push_back(std::make_unique<server>(
            platform, server::identity{.id = "i-" + std::to_string(number),
                                       .service = "booking",
                                       .version = version,
                                       .zone = "zone-" + std::to_string(zone),
                                       .host = network + ".5." + std::to_string(number),
                                       .threads = played.streaming ? 160 : 32}));
        server& added = *servers.back();
        added.handler = [&, version](const httplib::Request&, httplib::Response& response) {
            sleep_ms(work_ms);
            const double at = counts.age();
            const bool is_target = version == "v2";
            bool fails = false;
            if (is_target)
                fails = counts.draw(played.target_failing);
            if (!is_target && at >= played.old_fails_from && at < played.old_fails_until)
                fails = counts.draw(played.old_failing);
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
        if (!add_server("v1", zone))
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
    sleep_ms(8000);
    counts.begin();
    const auto order = [&](const char* version) {
        platform.put("keyed.op", "rollout/booking",
                     json{{"service", "booking"},
                          {"target", version},
                          {"duration_s", played.rollout_seconds}}
                         .dump());
    };
    order("v2");
    sleep_ms(server_start_ms);
    for (int zone = 0; zone < node_count; ++zone)
        if (!add_server("v2", zone))
            return 2;
    record << "ordered: roll-out of booking v2 in " << played.rollout_seconds << " s\n";
    record << "v2 " << (played.target_hangs ? "leaves unanswered " : "answers with 500 ")
           << 100 * played.target_failing << " of 100 requests\n";
    if (played.old_failing > 0)
        record << "v1 fails " << 100 * played.old_failing << " of 100 requests from "
               << played.old_fails_from << " s to " << played.old_fails_until
               << " s after the order\n";
    clients.set_phase("during the roll-out");
    std::string seen;
    bool is_cancelled = false;
    while (counts.age() < played.rollout_seconds + 8) {
        if (played.cancel_after > 0 && !is_cancelled && counts.age() >= played.cancel_after) {
            is_cancelled = true;
            order("v1");
            record << "after " << counts.age() << " s: the operator orders v1\n";
            clients.set_phase("after the order of v1");
        }
        const std::string text = platform.newest("keyed.status", "rollout/booking");
        const json status = text.empty() ? json::object() : json::parse(text);
        const std::string state = status.value("state", "");
        const std::string target = status.value("target", "");
        if (state + target != seen) {
            seen = state + target;
            record << "after " << counts.age() << " s: status " << state << " of " << target
                   << "\n";
            if (state == "done" || state == "rolled_back")
                clients.set_phase("after " + state + " of " + target);
            // The pages: at `done`, the old servers stop immediately, without draining.
            if (state == "done")
                for (const auto& each : servers)
                    if (each->self().version != target)
                        each->stop();
        }
        sleep_ms(50);
    }
    clients.stop();
    clients.write(record);
    counts.write(record);
    nodes.kill_all();
    for (const auto& each : servers)
        each->stop();
    if (!counts.is_conclusive())
        return 2;
    return counts.is_broken() ? 1 : 0;
}
