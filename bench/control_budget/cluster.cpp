#include "bench/control_budget/cluster.hpp"

#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/operator_client.hpp"
#include "fakes/free_address.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace chivedeal::bench {

namespace {

using nlohmann::json;

constexpr const char* team_key = "bench-key-0123456789";
constexpr std::size_t max_engines = 4;
constexpr std::size_t max_seeds = 3;
// The failure domains and regions of the full size.
constexpr std::size_t zones = 11;
constexpr std::size_t regions = 5;
constexpr absl::Duration poll_interval = absl::Milliseconds(2);
constexpr absl::Duration wait_limit = absl::Seconds(60);

httplib::Client make_client(const address& target)
{
    httplib::Client client(target.host, target.port);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(std::chrono::seconds(10));
    return client;
}

std::string get(const address& target, const std::string& path)
{
    const auto answer = make_client(target).Get(path);
    return answer && answer->status == 200 ? answer->body : "";
}

void post(const address& target, const std::string& path, const json& body)
{
    const auto answer = make_client(target).Post(path, body.dump(), "application/json");
    if (!answer || answer->status != 200)
        throw std::runtime_error("not taken: POST " + path);
}

std::string zone_of(std::size_t index) { return absl::StrCat("z", index % zones); }
std::string region_of(std::size_t index) { return absl::StrCat("r", index % zones % regions); }

} // namespace

cluster::cluster(options start) : m_options(std::move(start))
{
    start_platform();
    start_endpoints();
    start_nodes();
    wait_for_all(m_clock.now(), [this](const std::string& body) {
        const json status = json::parse(body, nullptr, false);
        return status.is_object() && status.value("ready", false) &&
               status.at("endpoints").size() == m_options.endpoints &&
               status.at("nodes").size() == m_options.nodes;
    });
}

cluster::member cluster::launch(const std::string& name, const address& http,
                                std::vector<std::string> command)
{
    command.front() = m_options.bin_dir + "/" + command.front();
    return {.http = http,
            .program = std::make_unique<scenario::process>(scenario::process::options{
                .command = std::move(command),
                .environment = {absl::StrCat("CHIVEDEAL_TEAM_KEYS=bench=", team_key),
                                "GLOG_logtostderr=1"},
                .output_file = absl::StrCat(m_options.output_dir, "/", name, ".log")})};
}

void cluster::start_platform()
{
    const address http = fakes::free_address();
    m_platform =
        launch("platform", http, {"chivedeal_platform", "--port", absl::StrCat(http.port)});
    const absl::Time limit = m_clock.now() + wait_limit;
    while (get(http, "/instances").empty() && m_clock.now() < limit)
        absl::SleepFor(poll_interval);
}

void cluster::start_endpoints()
{
    for (std::size_t i = 0; i < std::min(max_engines, m_options.endpoints); ++i) {
        const address http = fakes::free_address();
        m_engines.push_back(launch(absl::StrCat("engine", i), http,
                                   {"chivedeal_engine", "--id", absl::StrCat("e", i), "--port",
                                    absl::StrCat(http.port), "--platform",
                                    to_string(m_platform.http), "--service", "bench"}));
    }
    for (std::size_t i = m_engines.size(); i < m_options.endpoints; ++i)
        post(m_platform.http, "/instances",
             {{"id", absl::StrCat("e", i)},
              {"address", "127.0.0.1"},
              {"port", m_engines[i % m_engines.size()].http.port},
              {"region", region_of(i)},
              {"zone", zone_of(i)},
              {"class", "bench"},
              {"service", "bench"},
              {"version", "v1"}});
}

void cluster::start_nodes()
{
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        const std::string name = absl::StrCat("n", i);
        const address http = fakes::free_address();
        const std::string rpc = to_string(fakes::free_address());
        std::vector<std::string> command{
            "chivedeal",     "serve",      "--node", name,         "--http",
            to_string(http), "--rpc",      rpc,      "--platform", to_string(m_platform.http),
            "--region",      region_of(i), "--zone", zone_of(i)};
        if (!seeds.empty())
            command.insert(command.end(), {"--seeds", absl::StrJoin(seeds, ",")});
        command.insert(command.end(), m_options.serve_flags.begin(), m_options.serve_flags.end());
        m_nodes.push_back(launch(name, http, std::move(command)));
        if (seeds.size() < max_seeds)
            seeds.push_back(rpc);
    }
}

process_usage cluster::usage(std::size_t node) const
{
    return read_usage(m_nodes.at(node).program->pid());
}

std::size_t cluster::unready_peers(std::size_t node) const
{
    const json status = json::parse(get(m_nodes.at(node).http, "/v1/status"));
    return static_cast<std::size_t>(std::ranges::count_if(
        status.at("nodes"), [](const json& peer) { return peer.at("ready") != true; }));
}

std::map<std::string, double> cluster::control_bytes(std::size_t node) const
{
    std::map<std::string, double> found;
    const std::string exposed = get(m_nodes.at(node).http, "/metrics");
    for (const std::string& line : std::vector<std::string>(absl::StrSplit(exposed, '\n'))) {
        if (!absl::StartsWith(line, "chivedeal_control_bytes_total{"))
            continue;
        const std::vector<std::string> words = absl::StrSplit(line, ' ');
        double value = 0;
        if (words.size() == 2 && absl::SimpleAtod(words[1], &value))
            found[words[0]] = value;
    }
    return found;
}

absl::Duration cluster::measure_change(int number)
{
    operators::operator_client client(
        {.nodes = {m_nodes.front().http}, .team_keys = {{team_id("bench"), team_key}}});
    const absl::Time start = m_clock.now();
    const auto answer = client.change(absl::StrCat("/teams/bench/workspaces/w", number),
                                      R"({"rate": 10, "burst": 10})", 0);
    if (!is_ok(answer) || get_value(answer).effect.code != result_code::ok)
        throw std::runtime_error("the change was not accepted");
    const std::uint64_t version = get_value(answer).version;
    return wait_for_all(start, [version](const std::string& body) {
        const json status = json::parse(body, nullptr, false);
        return status.is_object() && status.value("applied_offset", std::uint64_t{0}) >= version;
    });
}

absl::Duration cluster::measure_leaving(std::size_t endpoint)
{
    const std::string name = absl::StrCat("e", endpoint);
    const absl::Time start = m_clock.now();
    post(m_platform.http, "/notices", {{"instance", name}, {"deadline_ms", 600'000}});
    return wait_for_all(start, [&name](const std::string& body) {
        const json status = json::parse(body, nullptr, false);
        return status.is_object() &&
               std::ranges::any_of(status.at("endpoints"), [&](const json& one) {
                   return one.at("endpoint") == name && one.at("status") == "leaving";
               });
    });
}

// Asks the nodes in turn, so the result is late by up to one round of answers.
absl::Duration cluster::wait_for_all(absl::Time start, const condition& holds) const
{
    std::vector<address> waiting;
    for (const member& node : m_nodes)
        waiting.push_back(node.http);
    while (!waiting.empty()) {
        std::erase_if(waiting, [&](const address& node) { return holds(get(node, "/v1/status")); });
        if (m_clock.now() > start + wait_limit)
            throw std::runtime_error("not on all nodes within the limit");
        if (!waiting.empty())
            absl::SleepFor(poll_interval);
    }
    return m_clock.now() - start;
}

} // namespace chivedeal::bench
