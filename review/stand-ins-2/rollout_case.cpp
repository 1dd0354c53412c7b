// A roll-out of a service during a rolling restart of the machines, and a final fault.
//
// Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case couldn't run.
#include "client.hpp"
#include "node.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr const char* service_name = "anmeldung";
// The duration of the example in PROTOCOL.md.
constexpr double rollout_duration_s = 12;
constexpr double recover_s = 12;
constexpr double observed_s = 12;
constexpr int servers_per_version = 3;
// 40 clients with 5 requests a second each.
constexpr int client_count = 40;

struct trouble
{
    bool restarts = true;
    bool final_fault = true;
};

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The servers of one service, as the platform runs them: it starts those of a new version beside
/// the old ones, stops the old ones at `done` and drains the new ones at `rolled_back`.
class fleet
{
public:
    fleet(record& seen) : m_seen(seen) {}

    void start(store& at, const std::string& version)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_store = &at;
        for (int i = 0; i < servers_per_version; ++i)
            m_servers.push_back(std::make_unique<server>("i-" + version + "-" + std::to_string(i),
                                                         service_name, version, m_seen));
        write_entries();
    }
    /// The servers' heartbeat.
    void beat()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write_entries();
    }
    void drain(const std::string& version)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& each : m_servers)
            if (each->version() == version)
                each->drain();
        write_entries();
    }
    void stop(const std::string& version)
    {
        std::vector<std::unique_ptr<server>> ended;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (auto each = m_servers.begin(); each != m_servers.end();) {
                if ((*each)->version() != version) {
                    ++each;
                    continue;
                }
                m_store->put("keyed.servers", (*each)->id(), "");
                ended.push_back(std::move(*each));
                each = m_servers.erase(each);
            }
        }
        if (!ended.empty())
            m_seen.line("platform stops the servers of %s", version.c_str());
    }

private:
    void write_entries()
    {
        for (auto& each : m_servers)
            m_store->put("keyed.servers", each->id(), each->entry());
    }

    record& m_seen;
    std::mutex m_mutex;
    store* m_store = nullptr;
    std::vector<std::unique_ptr<server>> m_servers;
};

class rollout_case
{
public:
    rollout_case(const std::string& directory, trouble with, record& seen)
        : m_trouble(with),
          m_seen(seen),
          m_fleet(seen),
          m_store(
              [this](const std::string& key, const std::string& value) { on_status(key, value); })
    {
        // With these names the third machine takes the control lease first, then the second one.
        for (const char* name : {"front-zuerich-a-1", "front-zuerich-a-2", "front-zuerich-a-4"})
            m_nodes.push_back(std::make_unique<node>(
                node::options{.name = name, .directory = directory, .store = m_store.address()}));
    }

    int run()
    {
        m_store.put("keyed.op", "config", configuration());
        m_fleet.start(m_store, "v1");
        std::thread platform([this] { run_platform(); });
        const int result = play();
        m_stopping = true;
        platform.join();
        return result;
    }

private:
    int play()
    {
        start_nodes();
        for (int i = 0; i < 200 && !all_ready(); ++i)
            sleep_s(0.1);
        if (!all_ready())
            return 2;
        outcomes results;
        std::vector<std::unique_ptr<client>> clients;
        client::options settings;
        for (const auto& each : m_nodes)
            settings.directory_ports.push_back(each->directory_port());
        for (int i = 1; i <= client_count; ++i) {
            settings.number = i;
            clients.push_back(std::make_unique<client>(settings, m_seen, results));
        }
        const double traffic_at = m_seen.now();
        sleep_s(8);
        m_fleet.start(m_store, "v2");
        m_store.put("keyed.op", std::string("rollout/") + service_name,
                    nlohmann::json{{"service", service_name},
                                   {"target", "v2"},
                                   {"duration_s", rollout_duration_s}}
                        .dump());
        m_ordered_at = m_seen.now();
        m_seen.line("operator orders version v2 within %.0f s", rollout_duration_s);
        // A rolling restart, one machine at a time, each 5 s after the one before.
        wait_until_after_order(1);
        restart(0);
        wait_until_after_order(6);
        restart(1);
        wait_until_after_order(11);
        restart(2);
        // The final fault follows the acknowledgement of a status, or comes at 18 s.
        wait_until_after_order(15.4);
        while (!m_runs_again && m_seen.now() < m_ordered_at + 18)
            sleep_s(0.02);
        sleep_s(0.2);
        const double fault_at = m_seen.now();
        final_fault();
        const double back_at = m_seen.now();
        sleep_s(recover_s + observed_s);
        const double end = m_seen.now() - 3;
        clients.clear();
        return judge(results.between(traffic_at, fault_at),
                     results.between(back_at + recover_s, end));
    }

    int judge(const outcomes::share& before, const outcomes::share& after)
    {
        m_seen.line("before the final fault: %d of %d requests served", before.served, before.sent);
        m_seen.line("later than %.0f s after the machines were back: %d of %d requests served",
                    recover_s, after.served, after.sent);
        if (before.sent == 0 || after.sent == 0 || before.served * 4 < before.sent)
            return 2;
        const bool broken = after.served * 4 < after.sent;
        m_seen.line("RECOVER %s", broken ? "is broken" : "holds");
        return broken ? 1 : 0;
    }

    static std::string configuration()
    {
        const auto route = [](const char* name, const char* prefix, const char* kind,
                              int attempts) {
            return nlohmann::json{{"name", name},          {"host", "h.example"},
                                  {"path_prefix", prefix}, {"kind", kind},
                                  {"timeout_ms", 1500},    {"goal_ms", 200},
                                  {"priority", 2},         {"service", service_name},
                                  {"attempts", attempts},  {"public", false}};
        };
        return nlohmann::json{
            {"version", 7},
            {"routes",
             {route("booking", "/booking/", "unsafe", 1),
              route("catalogue", "/catalogue/", "idempotent", 2)}},
            {"services",
             {{{"name", service_name}, {"health_path", "/health"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "clubs"}, {"api_keys", {"key"}}, {"priority", 1}}}}}
            .dump();
    }

    void start_nodes()
    {
        std::vector<std::string> seeds;
        for (const auto& each : m_nodes)
            seeds.push_back(each->control());
        for (const auto& each : m_nodes) {
            each->write_settings(seeds, true);
            each->start();
            m_seen.line("%s starts, process %d", each->name().c_str(), each->pid());
            each->write_settings(seeds, false);
        }
    }
    bool all_ready() const
    {
        for (const auto& each : m_nodes)
            if (!each->is_ready())
                return false;
        return true;
    }

    void wait_until_after_order(double seconds)
    {
        sleep_s(std::max(0.0, m_ordered_at + seconds - m_seen.now()));
    }

    // SIGTERM, and a new start 1 s after the process has ended.
    void restart(std::size_t index)
    {
        if (!m_trouble.restarts)
            return;
        node& each = *m_nodes[index];
        m_seen.line("%s gets SIGTERM", each.name().c_str());
        each.signal(SIGTERM);
        const double killed_at = m_seen.now() + 8;
        while (each.is_running())
            if (m_seen.now() > killed_at)
                each.signal(SIGKILL);
            else
                sleep_s(0.02);
        m_seen.line("%s has ended", each.name().c_str());
        sleep_s(1);
        each.start();
        m_seen.line("%s starts, process %d", each.name().c_str(), each.pid());
    }

    // All processes are killed at once and start again 1.1 s later.
    void final_fault()
    {
        if (!m_trouble.final_fault)
            return;
        m_seen.line("final fault: all processes are killed");
        for (const auto& each : m_nodes)
            each->signal(SIGKILL);
        for (const auto& each : m_nodes)
            each->wait_for_end();
        sleep_s(1.1);
        for (const auto& each : m_nodes) {
            each->start();
            m_seen.line("%s starts, process %d", each->name().c_str(), each->pid());
        }
    }

    void on_status(const std::string& key, const std::string& value)
    {
        m_seen.line("store accepts status/%s: %s", key.c_str(), value.c_str());
        const std::string state = nlohmann::json::parse(value).value("state", "");
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (state == "done")
            m_is_done = m_stop_old = true;
        m_runs_again = m_runs_again || (m_is_done && state == "running");
        if (state == "rolled_back" && m_drain_new_at < 0)
            m_drain_new_at = m_seen.now() + 3;
    }

    // Carries out what the platform does, apart from the store's threads.
    void run_platform()
    {
        double next_beat = m_seen.now();
        bool draining = false;
        double end_new_at = -1;
        while (!m_stopping) {
            sleep_s(0.02);
            bool stop_old = false;
            bool drain_new = false;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                stop_old = std::exchange(m_stop_old, false);
                drain_new = !draining && m_drain_new_at >= 0 && m_seen.now() >= m_drain_new_at;
            }
            if (stop_old)
                m_fleet.stop("v1");
            if (drain_new) {
                draining = true;
                end_new_at = m_seen.now() + 3.5;
                m_seen.line("platform drains the servers of v2");
                m_fleet.drain("v2");
            }
            if (end_new_at >= 0 && m_seen.now() >= end_new_at) {
                end_new_at = -1;
                m_fleet.stop("v2");
            }
            if (m_seen.now() >= next_beat) {
                next_beat = m_seen.now() + 1.2;
                m_fleet.beat();
            }
        }
    }

    trouble m_trouble;
    record& m_seen;
    fleet m_fleet;
    std::mutex m_mutex;
    bool m_stop_old = false;
    bool m_is_done = false;
    std::atomic<bool> m_runs_again = false;
    double m_drain_new_at = -1;
    std::atomic<bool> m_stopping = false;
    store m_store;
    std::vector<std::unique_ptr<node>> m_nodes;
    double m_ordered_at = 0;
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "Usage: rollout_case RECORD DIRECTORY\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::record seen(argv[1]);
    if (!seen.is_open())
        return 2;
    const char* variable = std::getenv("TROUBLE");
    const std::string chosen = variable == nullptr ? "" : variable;
    const review::trouble with{.restarts = chosen != "0" && chosen != "fault",
                               .final_fault = chosen != "0" && chosen != "restart"};
    return review::rollout_case(argv[2], with, seen).run();
}
