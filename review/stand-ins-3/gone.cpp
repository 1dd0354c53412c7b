// Cases: the servers of one version are lost during a roll-out (rule RECOVER).
//   new  those of the new version, after it has been proven; the roll-out ends with `done`
//   old  those of the old version, of a service with little traffic; it ends with `rolled_back`
//
// Three entry nodes, a store, nine servers of one version and three of the other, clients, and a
// roll-out of a sound version. The three servers crash for good (TROUBLE=1 only); their entries go
// after three heartbeats. When the final status has been acknowledged, the servers of the version
// that lost stop, as the pages say, and all processes are killed and start again (final fault).
// Counted are the requests sent later than `recover_s` after that.
#include "clients.hpp"
#include "nodes.hpp"
#include "orders_config.hpp"
#include "server.hpp"
#include "store.hpp"

#include <fstream>
#include <memory>

using namespace review; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct scenario
{
    int requests_per_second;
    int rollout_seconds;
    int old_servers;
    int new_servers;
    const char* lost_version;
    double crash_after_seconds;
};

constexpr scenario new_lost{.requests_per_second = 140,
                            .rollout_seconds = 20,
                            .old_servers = 9,
                            .new_servers = 3,
                            .lost_version = "v2",
                            .crash_after_seconds = 14};
constexpr scenario old_lost{.requests_per_second = 4,
                            .rollout_seconds = 12,
                            .old_servers = 3,
                            .new_servers = 9,
                            .lost_version = "v1",
                            .crash_after_seconds = 6};

constexpr int node_count = 3;
// The servers of the new version are listed this long after the order.
constexpr int server_start_ms = 500;
constexpr int heartbeat_ms = 1200;
constexpr int recover_seconds = 12;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: gone new|old FOLDER RECORD\n");
        return 2;
    }
    const std::string network = pick_network();
    const scenario played = std::string(argv[1]) == "old" ? old_lost : new_lost;
    std::ofstream record(argv[3]);
    record << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
    store platform;
    if (!platform.start(network + ".9.1", store_port))
        return 2;
    platform.put("keyed.op", "config", orders_config(4, false).dump());

    std::vector<std::unique_ptr<server>> servers;
    const auto add_server = [&](const std::string& version, int zone) {
        const int number = static_cast<int>(servers.size()) + 1;
        servers.push_back(std::make_unique<server>(
            platform, server::identity{.id = "i-" + std::to_string(number),
                                       .service = "booking",
                                       .version = version,
                                       .zone = "zone-" + std::to_string(zone),
                                       .host = network + ".5." + std::to_string(number)}));
        servers.back()->handler = [version](const httplib::Request&, httplib::Response& response) {
            sleep_ms(30);
            response.set_content(version + " done", "text/plain");
        };
        return servers.back()->start();
    };
    const auto for_version = [&](const char* version, const auto& action) {
        for (const auto& each : servers)
            if (each->self().version == version)
                action(*each);
    };
    for (int i = 0; i < played.old_servers; ++i)
        if (!add_server("v1", i % node_count))
            return 2;

    node_group nodes(network, argv[2], node_count);
    nodes.start_all();
    if (!nodes.wait_ready(20)) {
        record << "the nodes are not ready\n";
        return 2;
    }
    sleep_ms(2000);
    client_group clients(nodes, {.requests_per_second = played.requests_per_second});
    sleep_ms(8000);
    platform.put(
        "keyed.op", "rollout/booking",
        json{{"service", "booking"}, {"target", "v2"}, {"duration_s", played.rollout_seconds}}
            .dump());
    record << "ordered: roll-out of booking v2 in " << played.rollout_seconds << " s\n";
    clients.set_phase("during the roll-out");
    const auto ordered = std::chrono::steady_clock::now();
    sleep_ms(server_start_ms);
    for (int i = 0; i < played.new_servers; ++i)
        if (!add_server("v2", i % node_count))
            return 2;
    bool has_crashed = false;
    bool has_removed_entries = false;
    std::string state;
    while (seconds_since(ordered) < played.rollout_seconds + 1) {
        const double age = seconds_since(ordered);
        if (has_trouble() && !has_crashed && age >= played.crash_after_seconds) {
            has_crashed = true;
            for_version(played.lost_version, [](server& each) { each.end(); });
            record << "after " << age << " s: the servers of " << played.lost_version
                   << " crash for good\n";
        }
        if (has_crashed && !has_removed_entries &&
            age >= played.crash_after_seconds + 3 * heartbeat_ms / 1000.0) {
            has_removed_entries = true;
            for_version(played.lost_version, [](server& each) { each.remove_entry(); });
            record << "after " << age << " s: their entries have gone from the store\n";
        }
        const std::string text = platform.newest("keyed.status", "rollout/booking");
        const std::string newest = text.empty() ? "" : json::parse(text).value("state", "");
        if (newest != state) {
            state = newest;
            record << "after " << age << " s: status " << state << "\n";
            if (state == "done" || state == "rolled_back")
                break;
        }
        sleep_ms(20);
    }
    // The final fault, right after the acknowledgement. The old servers stop at `done`; the new ones
    // drain and leave after `rolled_back`.
    nodes.kill_all();
    clients.set_phase("while the processes are away and recover");
    for_version(state == "done" ? "v1" : "v2", [](server& each) { each.stop(); });
    record << "final fault: all processes are killed\n";
    sleep_ms(1000);
    for (int node = 0; node < node_count; ++node)
        nodes.start(node, false);
    sleep_ms(1000 * recover_seconds + 500);
    clients.set_phase("more than recover_s after they are back");
    sleep_ms(6000);
    clients.stop();
    clients.write(record);
    nodes.kill_all();
    for (const auto& each : servers)
        each->stop();
    const double before = clients.served_share("during the roll-out");
    const double after = clients.served_share("more than recover_s after they are back");
    const bool is_broken = before >= 0.25 && after < 0.25;
    record << "served before the final fault: " << before << ", after it: " << after << "\n"
           << "RECOVER " << (is_broken ? "broken" : "held") << "\n";
    return is_broken ? 1 : 0;
}
