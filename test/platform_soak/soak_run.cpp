#include "test/platform_soak/soak_run.hpp"

#include "chivedeal/core/json_object.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chivedeal::soak {

namespace {

constexpr absl::Duration step = absl::Milliseconds(20);
constexpr absl::Duration heartbeat_interval = absl::Seconds(1);
constexpr absl::Duration settle_time = absl::Seconds(10);
constexpr absl::Duration calm_time = absl::Seconds(4);
constexpr absl::Duration start_timeout = absl::Seconds(60);
constexpr absl::Duration stop_timeout = absl::Seconds(40);
constexpr absl::Duration leaving_time = absl::Seconds(5);
constexpr const char* endpoint_topic = "keyed.servers";
constexpr const char* services[] = {"app", "llm"};

} // namespace

soak_run::soak_run(options settings)
    : m_options(std::move(settings)),
      m_random(m_options.seed),
      m_link_random(m_options.seed + 1),
      m_signal_random(m_options.seed + 2),
      m_rollout_random(m_options.seed + 3),
      m_store(m_options.nodes)
{}

std::vector<std::string> soak_run::run()
{
    start_all();
    run_until(absl::Now() + m_options.length, true);
    // What was begun, such as restarts, is completed while the system settles.
    m_deadly_share = 0;
    m_store.set_mode(soak_store::mode::up);
    restore_links();
    run_until(absl::Now() + settle_time, false);
    m_ledger.begin_calm();
    run_until(absl::Now() + calm_time, false);
    m_ledger.end_calm();
    check_rollouts();
    m_callers.clear();
    stop_all_nodes();
    m_endpoints.clear();
    return m_ledger.violations();
}

void soak_run::start_all()
{
    publish_configuration();
    for (int i = 0; i < m_options.endpoints; ++i)
        add_endpoint(services[i % 2]);
    std::vector<soak_node*> nodes;
    std::vector<address> seeds;
    for (int i = 1; i <= m_options.nodes; ++i) {
        m_nodes.push_back(
            std::make_unique<soak_node>(soak_node::options{.name = absl::StrCat("n", i),
                                                           .program = m_options.program,
                                                           .directory = m_options.directory,
                                                           .store = m_store.listen_address()}));
        nodes.push_back(m_nodes.back().get());
        if (seeds.size() < 3)
            seeds.push_back(m_nodes.back()->control());
    }
    for (const auto& node : m_nodes) {
        node->write_settings(seeds);
        node->start();
    }
    const absl::Time deadline = absl::Now() + start_timeout;
    for (const auto& node : m_nodes)
        while (!node->is_ready() && absl::Now() < deadline)
            run_until(absl::Now() + step, false);
    for (int i = 1; i <= m_options.callers; ++i)
        m_callers.push_back(std::make_unique<soak_caller>(
            soak_caller::options{.name = absl::StrCat("c", i),
                                 .seed = m_options.seed * 1000 + static_cast<unsigned>(i),
                                 .nodes = nodes,
                                 .promises = m_ledger,
                                 .deadly_share = m_deadly_share}));
}

void soak_run::run_until(absl::Time end, bool with_faults)
{
    absl::Time next_fault = absl::Now() + random_duration(200, 800);
    for (absl::Time now = absl::Now(); now < end; now = absl::Now()) {
        while (!m_actions.empty() && m_actions.begin()->first <= now) {
            const std::function<void()> action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        publish_endpoints(now);
        watch_endpoints(now);
        watch_nodes();
        if (with_faults && now >= next_fault) {
            // Faults come in series and overlap.
            for (int count = 1 + random(3); count > 0; --count)
                inject_fault(now);
            next_fault = now + random_duration(200, 1500);
        }
        if (with_faults && now >= m_next_link_fault)
            disturb_links(now);
        if (with_faults && now >= m_next_rollout)
            order_rollout(now);
        absl::SleepFor(step);
    }
}

void soak_run::publish_configuration()
{
    const auto route = [](const char* name, const char* kind, int attempts, const char* service) {
        return absl::StrCat(R"({"name":")", name, R"(","host":"h","path_prefix":"/)", name,
                            R"(/","kind":")", kind,
                            R"(","timeout_ms":4000,"goal_ms":500,"attempts":)", attempts,
                            R"(,"service":")", service, R"("})");
    };
    m_store.put("keyed.op", "config",
                absl::StrCat(R"({"version":)", ++m_config_version, R"(,"routes":[)",
                             route("app", "unsafe", 2, "app"), ",",
                             route("get", "idempotent", 2, "app"), ",",
                             route("chat", "streaming", 1, "llm"),
                             R"(],"services":[{"name":"app","max_conns":400},)"
                             R"({"name":"llm","max_conns":400}],)"
                             R"("tenants":[{"name":"w","api_keys":["key"]}]})"));
}

void soak_run::add_endpoint(const std::string& service)
{
    m_endpoints.push_back(
        std::make_unique<soak_endpoint>(absl::StrCat("e", m_next_endpoint++), service, m_ledger));
    m_next_heartbeat = absl::InfinitePast();
}

void soak_run::publish_endpoints(absl::Time now)
{
    // Endpoints can't write while the store is in trouble.
    if (now < m_next_heartbeat || !m_store.is_up())
        return;
    m_next_heartbeat = now + heartbeat_interval;
    for (const auto& endpoint : m_endpoints)
        if (!endpoint->crashed())
            m_store.put(endpoint_topic, endpoint->id(), endpoint->record());
}

void soak_run::watch_endpoints(absl::Time /*now*/)
{
    for (auto endpoint = m_endpoints.begin(); endpoint != m_endpoints.end();) {
        if (!(*endpoint)->crashed()) {
            ++endpoint;
            continue;
        }
        const std::string service = (*endpoint)->service();
        const std::string id = (*endpoint)->id();
        endpoint = m_endpoints.erase(endpoint);
        after(random_duration(1000, 3000), [this, service] { add_endpoint(service); });
        // The record expires after some missing heartbeats.
        after(absl::Milliseconds(3600), [this, id] { m_store.put(endpoint_topic, id, ""); });
        break;
    }
}

void soak_run::watch_nodes()
{
    for (const auto& node : m_nodes) {
        if (!node->ended() || m_restarting[node.get()])
            continue;
        m_ledger.fail(absl::StrCat("ENDS: ", node->name(), " ended by itself with status ",
                                   node->exit_status()));
        node->start();
    }
}

void soak_run::inject_fault(absl::Time now)
{
    switch (random(12)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        return disturb_node(now);
    case 5:
    case 6:
    case 7:
        return disturb_endpoint(now);
    case 8:
        return disturb_store(now);
    case 9:
        return publish_configuration();
    case 10:
        return send_deadly_prompts(now);
    default:
        if (random(4) == 0)
            kill_all_nodes(now);
    }
}

void soak_run::disturb_node(absl::Time now)
{
    soak_node& node = *m_nodes[static_cast<std::size_t>(random(m_options.nodes))];
    if (m_restarting[&node])
        return;
    switch (random(4)) {
    case 0:
        return kill_node(node, now);
    case 1:
        return freeze_node(node, now);
    case 2:
        return stop_node(node, now);
    default:
        // Before it has started, a process can't handle the signal and ends.
        if (node.is_ready())
            node.signal(SIGHUP);
    }
}

void soak_run::kill_node(soak_node& node, absl::Time now)
{
    m_restarting[&node] = true;
    node.set_stopping_gracefully(false);
    m_ledger.on_node_disturbed(node.name(), now);
    node.signal(SIGKILL);
    after(random_duration(100, 1500), [this, &node] {
        m_ledger.on_node_disturbed(node.name(), absl::Now());
        node.start();
        m_restarting[&node] = false;
    });
}

void soak_run::freeze_node(soak_node& node, absl::Time now)
{
    if (std::exchange(m_frozen[&node], true))
        return;
    node.set_stopping_gracefully(false);
    m_ledger.on_node_disturbed(node.name(), now);
    node.signal(SIGSTOP);
    after(random_duration(200, 4000), [this, &node] {
        m_frozen[&node] = false;
        m_ledger.on_node_disturbed(node.name(), absl::Now());
        node.signal(SIGCONT);
    });
}

void soak_run::stop_node(soak_node& node, absl::Time now)
{
    m_restarting[&node] = true;
    node.set_stopping_gracefully(!m_frozen[&node]);
    m_ledger.on_node_disturbed(node.name(), now);
    node.signal(SIGTERM);
    repeat_stop_signals(node);
    const absl::Time deadline = now + stop_timeout;
    const auto restart_when_ended = [this, &node, deadline](const auto& self) -> void {
        if (!node.ended() && absl::Now() < deadline)
            return after(absl::Milliseconds(100), [self] { self(self); });
        if (!node.ended())
            m_ledger.fail(absl::StrCat("ENDS: ", node.name(), " didn't end after SIGTERM"));
        m_ledger.on_node_disturbed(node.name(), absl::Now());
        node.start();
        m_restarting[&node] = false;
    };
    after(absl::Milliseconds(100),
          [restart_when_ended] { restart_when_ended(restart_when_ended); });
}

// Supervisors and operators repeat signals while a node drains.
void soak_run::repeat_stop_signals(soak_node& node)
{
    constexpr int numbers[] = {SIGTERM, SIGINT, SIGHUP};
    for (auto count = m_signal_random() % 4; count > 0; --count) {
        const int number = numbers[m_signal_random() % 3];
        after(absl::Milliseconds(50 + m_signal_random() % 1000),
              [&node, number, start = node.starts()] {
                  // A process that has just started again can't handle signals yet.
                  if (node.starts() == start)
                      node.signal(number);
              });
    }
}

void soak_run::kill_all_nodes(absl::Time now)
{
    for (const auto& node : m_nodes)
        if (!m_restarting[node.get()])
            kill_node(*node, now);
    m_ledger.on_all_nodes_killed();
}

void soak_run::disturb_endpoint(absl::Time /*now*/)
{
    if (m_endpoints.empty())
        return;
    soak_endpoint& endpoint =
        *m_endpoints[static_cast<std::size_t>(random(static_cast<int>(m_endpoints.size())))];
    switch (random(4)) {
    case 0:
        return endpoint.crash();
    case 1:
        return endpoint.pause(random_duration(800, 4000));
    case 2:
        return endpoint.set_cut_share(0.3);
    default:
        break;
    }
    if (endpoint.is_leaving())
        return;
    // Without a heartbeat its responses are the only sign that it leaves.
    endpoint.announce_leaving();
    m_next_heartbeat = absl::Now() + absl::Seconds(random(5));
    after(leaving_time, [this, id = endpoint.id()] {
        const auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(),
                                        [&id](const auto& other) { return other->id() == id; });
        if (found == m_endpoints.end())
            return;
        const std::string service = (*found)->service();
        m_ledger.on_endpoint_disturbed(id, absl::Now());
        m_store.put(endpoint_topic, id, "");
        m_endpoints.erase(found);
        add_endpoint(service);
    });
}

void soak_run::disturb_store(absl::Time /*now*/)
{
    constexpr soak_store::mode modes[] = {soak_store::mode::rejecting, soak_store::mode::silent,
                                          soak_store::mode::losing_answers};
    m_store.set_mode(modes[random(3)]);
    after(random_duration(300, 4000), [this] { m_store.set_mode(soak_store::mode::up); });
}

void soak_run::disturb_links(absl::Time now)
{
    m_next_link_fault = now + absl::Milliseconds(500 + m_link_random() % 2500);
    if (m_endpoints.empty())
        return;
    soak_endpoint& endpoint = *m_endpoints[m_link_random() % m_endpoints.size()];
    m_ledger.on_endpoint_disturbed(endpoint.id(), absl::InfiniteFuture());
    soak_proxy& proxy = endpoint.proxy();
    switch (m_link_random() % 4) {
    case 0:
        return proxy.set_delay(absl::Milliseconds(m_link_random() % 400));
    case 1:
        return proxy.reset_connections();
    case 2:
        proxy.set_mode(soak_proxy::mode::silent);
        break;
    default:
        proxy.set_mode(soak_proxy::mode::one_way);
    }
    after(absl::Milliseconds(300 + m_link_random() % 4000), [this] { restore_links(); });
}

// Orders a version without endpoints, so that requests are served as without the order and the
// roll-out is rolled back at its end. An order is often repeated, or replaced while it runs.
void soak_run::order_rollout(absl::Time now)
{
    m_next_rollout = now + absl::Milliseconds(1500 + m_rollout_random() % 5000);
    const char* service = services[m_rollout_random() % 2];
    m_store.put("keyed.op", absl::StrCat("rollout/", service),
                absl::StrCat(R"({"service":")", service, R"(","target":"v)",
                             2 + m_rollout_random() % 2, R"(","duration_s":)",
                             1 + m_rollout_random() % 4, "}"));
}

// The status of an order goes from running to one final state, and the newest order has ended.
void soak_run::check_rollouts()
{
    for (const char* service : services) {
        const std::string key = absl::StrCat("rollout/", service);
        std::map<std::uint64_t, std::string> final_states;
        std::string newest_state;
        for (const std::string& value : m_store.values("keyed.status", key)) {
            const nlohmann::json status = parse_json_object(value);
            newest_state = member_or(status, "state", "");
            std::string& final_state = final_states[member_or(status, "order", std::uint64_t{0})];
            if (!final_state.empty() && newest_state != final_state)
                m_ledger.fail(absl::StrCat("ROLLOUT: ", newest_state, " replaced ", final_state,
                                           " of ", key));
            if (newest_state != "running")
                final_state = newest_state;
        }
        if (newest_state == "running" ||
            (newest_state.empty() && !m_store.values("keyed.op", key).empty()))
            m_ledger.fail(absl::StrCat("ROLLOUT: ", key, " has not ended"));
    }
}

void soak_run::restore_links()
{
    m_ledger.end_disturbances(absl::Now());
    for (const auto& endpoint : m_endpoints) {
        endpoint->proxy().set_mode(soak_proxy::mode::forwarding);
        endpoint->proxy().set_delay(absl::ZeroDuration());
    }
}

void soak_run::send_deadly_prompts(absl::Time /*now*/)
{
    m_deadly_share = 0.1;
    after(random_duration(3000, 12000), [this] { m_deadly_share = 0; });
}

void soak_run::after(absl::Duration delay, std::function<void()> action)
{
    m_actions.emplace(absl::Now() + delay, std::move(action));
}

void soak_run::stop_all_nodes()
{
    for (const auto& node : m_nodes) {
        m_restarting[node.get()] = true;
        node->signal(SIGTERM);
    }
    const absl::Time deadline = absl::Now() + stop_timeout;
    for (const auto& node : m_nodes) {
        while (!node->ended() && absl::Now() < deadline)
            absl::SleepFor(step);
        if (!node->ended() || node->exit_status() != 0)
            m_ledger.fail(absl::StrCat("ENDS: ", node->name(), " ended with status ",
                                       node->exit_status(), " after SIGTERM"));
    }
}

} // namespace chivedeal::soak
