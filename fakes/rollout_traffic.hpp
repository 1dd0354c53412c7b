#ifndef CHIVEDEAL_FAKES_ROLLOUT_TRAFFIC_HPP
#define CHIVEDEAL_FAKES_ROLLOUT_TRAFFIC_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/outcome_counter.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/stored_record.hpp"
#include "chivedeal/forward/topic.hpp"
#include "fakes/control_node.hpp"
#include "fakes/control_system.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Requests for one service, which each node of a `control_system` sends by its own endpoint pool to
/// the endpoints of several versions. Like the platform, it stops the endpoints of the other versions
/// when a roll-out is done, and those of its target some seconds after it was rolled back.
class rollout_traffic
{
public:
    struct version
    {
        int endpoints = 3;
        /// Shares of the requests that fail, by route, and for all other routes.
        double failing = 0;
        std::map<std::string, double> failing_by_route;
        /// Whether the endpoints accept connections. They stay listed without it.
        bool is_alive = true;
    };

    explicit rollout_traffic(control_system& system, unsigned seed = 7)
        : m_system(system), m_random(seed)
    {
        m_system.unlist("old-1");
        m_system.unlist("new-1");
        m_system.serve = [this](const std::string& name, control_node& node) { serve(name, node); };
        add_version("v1", {});
    }

    /// Starts and lists the endpoints of a version.
    void add_version(const std::string& name, const version& added)
    {
        versions[name] = added;
        for (int i = 0; i < added.endpoints; ++i)
            m_system.list(absl::StrCat(name, "-", i), name);
    }

    /// The endpoints of a version crash. Their records leave the list after three heartbeats.
    void crash(const std::string& name)
    {
        versions.at(name).is_alive = false;
        m_removals[name] = m_system.clock.now() + absl::Milliseconds(3600);
    }

    /// Endpoints of the version that were to stop go on.
    void keep(const std::string& name) { m_removals.erase(name); }

    void order(const std::string& target, absl::Duration duration = absl::Seconds(12))
    {
        ++m_orders;
        m_ended = false;
        m_system.order({.service = service_id("s"),
                        .target = version_id(target),
                        .duration = duration,
                        .offset = m_orders});
    }

    /// Orders a version and starts its endpoints.
    void begin_rollout(const std::string& target, const version& added,
                       absl::Duration duration = absl::Seconds(12))
    {
        order(target, duration);
        add_version(target, added);
    }

    void run(absl::Duration time)
    {
        for (absl::Duration elapsed; elapsed < time; elapsed += control_system::tick_interval) {
            follow_status();
            remove_endpoints();
            m_system.step();
        }
    }

    /// The newest state in the store, and the version that it names; empty before the first one.
    std::optional<forward::rollout_status> newest_status() const
    {
        std::optional<forward::rollout_status> newest;
        const auto found = m_system.topics->records.find(forward::topic::rollout_status);
        if (found == m_system.topics->records.end())
            return newest;
        for (const forward::stored_record& record : found->second)
            if (const auto status = m_format.decode_rollout_status(record); is_ok(status))
                newest = get_value(status);
        return newest;
    }

    /// Whether the newest status in the store is of the newest order and has this state and target.
    bool has_status(forward::rollout_state with, const std::string& target) const
    {
        const auto newest = newest_status();
        return newest && newest->state == with && newest->target.str() == target &&
               newest->order_offset == m_orders;
    }

    /// Share of the requests since the last call that got an answer.
    double take_served_share()
    {
        const double served = static_cast<double>(m_served) / std::max<std::int64_t>(1, m_sent);
        m_served = m_sent = 0;
        return served;
    }

    /// Requests since the last call that reached the version, by name.
    std::map<std::string, int> take_requests() { return std::exchange(m_requests, {}); }

    /// Requests of one node in a tick of 250 ms. One in `quiet_interval` is for the quiet route.
    double requests_per_tick = 12;
    int quiet_interval = 48;
    std::map<std::string, version> versions;

private:
    struct node_state
    {
        const control_node* owner = nullptr;
        std::unique_ptr<forward::endpoint_pool> pool;
        forward::outcome_counter counter;
        std::uint64_t order = 0;
        double due_requests = 0;
        int requests = 0;
    };

    static constexpr int max_attempts = 2;
    static constexpr int max_trial_failures = 3;

    void serve(const std::string& name, control_node& node)
    {
        node_state& state = m_nodes[name];
        if (state.owner != &node)
            state = {.owner = &node,
                     .pool = std::make_unique<forward::endpoint_pool>(
                         forward::endpoint_pool::options{.self = node_id(name)})};
        update_pool(state, node);
        const auto& order = m_system.newest_order();
        if (order && state.order != order->offset) {
            state.order = order->offset;
            state.counter.start_counting(*order);
        }
        for (state.due_requests += requests_per_tick; state.due_requests >= 1; --state.due_requests)
            send(state);
        const auto counts = state.counter.snapshot();
        if (!counts.empty())
            node.set_outcomes(counts.front());
    }

    void update_pool(node_state& state, const control_node& node)
    {
        for (const auto& [id, record] : m_system.listed()) {
            state.pool->update(*record);
            m_known.insert(id);
        }
        for (const std::string& id : m_known)
            if (m_system.listed().count(id) == 0)
                state.pool->remove(endpoint_id(id));
        const auto split = node.split();
        state.pool->set_version_split(service_id("s"), split);
        if (split)
            state.counter.set_stable(service_id("s"), split->stable);
    }

    void send(node_state& state)
    {
        const absl::Time now = m_system.clock.now();
        const std::string route = ++state.requests % quiet_interval == 0 ? "quiet" : "busy";
        forward::endpoint_query query{.service = service_id("s")};
        const double uniform_sample = m_uniform(m_random);
        const bool is_trial =
            state.counter.take_trial(service_id("s"), route, max_trial_failures, now);
        const double sample = is_trial ? 0 : uniform_sample;
        ++m_sent;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            const auto choice = state.pool->choose(query, sample, now);
            if (!is_ok(choice))
                return;
            const forward::endpoint_choice& chosen = get_value(choice);
            const version& target = versions.at(chosen.version.str());
            if (!target.is_alive) {
                state.pool->on_unreachable(chosen.id, now);
                query.excluded.push_back(chosen.id);
                continue;
            }
            const auto by_route = target.failing_by_route.find(route);
            const double failing =
                by_route == target.failing_by_route.end() ? target.failing : by_route->second;
            const bool is_good = m_uniform(m_random) >= failing;
            if (is_good)
                state.pool->on_success(chosen.id, now);
            else
                state.pool->on_failure(chosen.id, now);
            state.counter.count_response(service_id("s"), chosen.version, route, std::nullopt,
                                         is_good, now);
            ++m_requests[chosen.version.str()];
            m_served += is_good ? 1 : 0;
            return;
        }
    }

    void follow_status()
    {
        const auto newest = newest_status();
        if (!newest || newest->order_offset != m_orders || m_ended ||
            newest->state == forward::rollout_state::running)
            return;
        m_ended = true;
        for (auto& [name, each] : versions) {
            const bool is_target = name == newest->target.str();
            if (newest->state == forward::rollout_state::done && !is_target) {
                each.is_alive = false;
                m_removals[name] = m_system.clock.now();
            }
            else if (newest->state == forward::rollout_state::rolled_back && is_target) {
                m_removals[name] = m_system.clock.now() + absl::Seconds(3);
            }
        }
    }

    void remove_endpoints()
    {
        for (auto removal = m_removals.begin(); removal != m_removals.end();) {
            if (m_system.clock.now() < removal->second) {
                ++removal;
                continue;
            }
            for (int i = 0; i < versions.at(removal->first).endpoints; ++i)
                m_system.unlist(absl::StrCat(removal->first, "-", i));
            removal = m_removals.erase(removal);
        }
    }

    control_system& m_system;
    std::map<std::string, node_state> m_nodes;
    std::set<std::string> m_known;
    std::map<std::string, absl::Time> m_removals;
    std::uint64_t m_orders = 0;
    bool m_ended = false;
    std::int64_t m_sent = 0;
    std::int64_t m_served = 0;
    std::map<std::string, int> m_requests;
    std::mt19937 m_random;
    std::uniform_real_distribution<> m_uniform;
    chivedeal::platform::json_wire_format m_format;
};

} // namespace chivedeal::fakes

#endif
