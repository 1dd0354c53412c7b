#ifndef CHIVEDEAL_FAKES_CONTROL_SYSTEM_HPP
#define CHIVEDEAL_FAKES_CONTROL_SYSTEM_HPP

#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/stored_record.hpp"
#include "chivedeal/forward/topic.hpp"
#include "fakes/checking_platform.hpp"
#include "fakes/control_node.hpp"
#include "fakes/fake_clock.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/time/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::fakes {

/// Nodes that exchange beacons and share a store with epochs.
class control_system
{
public:
    static constexpr absl::Duration tick_interval = absl::Milliseconds(250);

    explicit control_system(std::uint64_t epoch)
    {
        topics->epoch = epoch;
        list("old-1", "v1");
        list("new-1", "v2");
    }

    /// Adds an endpoint to the list that the nodes read.
    void list(const std::string& id, const std::string& version)
    {
        const auto record = std::make_shared<const forward::endpoint_record>(
            forward::endpoint_record{.id = endpoint_id(id),
                                     .service = service_id("s"),
                                     .address = {.host = id, .port = 1},
                                     .zone = zone_id("z"),
                                     .version = version_id(version),
                                     .slots = 1000,
                                     .started_at_unix_ms = ++m_started_endpoints});
        m_endpoints[id] = record;
        tell_all({forward::node_event::endpoint_changed{record}});
    }

    void unlist(const std::string& id)
    {
        m_endpoints.erase(id);
        tell_all({forward::node_event::endpoint_removed{endpoint_id(id)}});
    }

    /// Stops the process of a node for a time. What its watchers miss reaches it a little after it
    /// goes on.
    void freeze(const std::string& name, absl::Duration time)
    {
        m_frozen[name] = clock.now() + time;
    }

    const std::map<std::string, std::shared_ptr<const forward::endpoint_record>>& listed() const
    {
        return m_endpoints;
    }

    /// A node that starts reads the order in force, like the configuration.
    void add(const std::string& name)
    {
        control_node& node = add_without_order(name);
        if (m_order)
            node.order(*m_order);
    }

    control_node& add_without_order(const std::string& name)
    {
        nodes[name] = std::make_unique<control_node>(name.c_str(), topics, clock, platform);
        for (const auto& [id, record] : m_endpoints)
            nodes[name]->handle({forward::node_event::endpoint_changed{record}});
        nodes[name]->handle({forward::node_event::endpoints_loaded{}});
        return *nodes[name];
    }

    void restart(const std::string& name)
    {
        nodes.erase(name);
        add(name);
    }

    void order(const forward::rollout_order& ordered)
    {
        m_order = ordered;
        m_ordered_at = clock.now();
        for (const auto& [name, node] : nodes)
            node->order(ordered);
    }

    /// Advances all nodes by one tick of the control duty.
    void step()
    {
        const bool has_old_endpoints = !is_done();
        if (!has_old_endpoints && !serve && m_endpoints.count("old-1") > 0)
            unlist("old-1");
        deliver_late_events();
        for (const auto& [name, node] : nodes) {
            if (is_frozen(name))
                continue;
            if (serve)
                serve(name, *node);
            else if (m_order)
                target_failures +=
                    node->count_responses(has_old_endpoints, target_failure_interval);
            node->count_requests();
            node->tick();
        }
        for (const auto& [name, node] : nodes)
            for (const auto& [peer_name, peer] : nodes)
                if (peer_name != name && !node->is_cut_off_from_peers() &&
                    !peer->is_cut_off_from_peers() && !is_frozen(name) && !is_frozen(peer_name)) {
                    const forward::node_beacon beacon = node->make_beacon();
                    peer->epochs().note(beacon.store_epoch);
                    peer->handle({forward::node_event::peer_heard{
                        std::make_shared<const forward::node_beacon>(beacon), nullptr}});
                }
        clock.advance(tick_interval);
        if (topics->epoch == 0)
            return;
        // The copy is three seconds old.
        m_copies.push_back(topics->records);
        if (m_copies.size() > 12)
            m_copies.pop_front();
        topics->copy = m_copies.front();
    }

    void run(absl::Duration time)
    {
        for (absl::Duration elapsed; elapsed < time; elapsed += tick_interval)
            step();
    }

    /// The watchers read all the time and learn of the epoch.
    void let_watchers_read()
    {
        for (const auto& [name, node] : nodes)
            node->epochs().note(topics->epoch);
    }

    bool has_record(forward::topic in, const std::string& key, const std::string& part) const
    {
        const auto found = topics->records.find(in);
        return found != topics->records.end() &&
               std::any_of(found->second.begin(), found->second.end(),
                           [&](const forward::stored_record& record) {
                               return record.key == key &&
                                      record.value.find(part) != std::string::npos;
                           });
    }

    /// States of the order in force in the sequence in which the store accepted them.
    std::vector<forward::rollout_state> stored_states() const
    {
        std::vector<forward::rollout_state> states;
        const auto found = topics->records.find(forward::topic::rollout_status);
        if (found != topics->records.end())
            for (const forward::stored_record& record : found->second)
                if (const auto status = m_format.decode_rollout_status(record);
                    is_ok(status) && get_value(status).service == m_order->service)
                    states.push_back(get_value(status).state);
        return states;
    }

    bool has_ended(forward::rollout_state with) const
    {
        const auto states = stored_states();
        return std::find(states.begin(), states.end(), with) != states.end();
    }

    const std::optional<forward::rollout_order>& newest_order() const { return m_order; }
    absl::Time ordered_at() const { return m_ordered_at; }
    /// When the store accepted that the roll-out is done; `InfiniteFuture` if it hasn't.
    absl::Time done_at() const { return m_done_at; }

    /// If set, serves the requests of a node in one tick and sets its counts. Otherwise the node
    /// counts made-up responses.
    std::function<void(const std::string& name, control_node& node)> serve;
    /// One in so many responses of the order's version fails. Of the other version, one in seven.
    int target_failure_interval = 7;
    /// Failed responses of the order's version on all nodes.
    int target_failures = 0;
    fake_clock clock;
    std::shared_ptr<fake_topics> topics = std::make_shared<fake_topics>();
    checking_platform platform;
    std::map<std::string, std::unique_ptr<control_node>> nodes;

private:
    // Interval in which watchers read the list of endpoints.
    static constexpr absl::Duration watch_interval = absl::Milliseconds(600);

    bool is_frozen(const std::string& name) const
    {
        const auto until = m_frozen.find(name);
        return until != m_frozen.end() && clock.now() < until->second;
    }

    void tell_all(const forward::node_event& event)
    {
        for (const auto& [name, node] : nodes) {
            if (is_frozen(name))
                m_late_events[name].push_back(event);
            else
                node->handle(event);
        }
    }

    void deliver_late_events()
    {
        for (auto& [name, events] : m_late_events) {
            if (clock.now() < m_frozen[name] + watch_interval)
                continue;
            for (const forward::node_event& event : events)
                if (const auto node = nodes.find(name); node != nodes.end())
                    node->second->handle(event);
            events.clear();
        }
    }

    // Whether the platform has stopped the endpoints of the old version.
    bool is_done()
    {
        const auto& statuses = topics->records[forward::topic::rollout_status];
        for (; m_seen_statuses < statuses.size(); ++m_seen_statuses) {
            const auto status = m_format.decode_rollout_status(statuses[m_seen_statuses]);
            if (is_ok(status) && get_value(status).state == forward::rollout_state::done)
                m_done_at = std::min(m_done_at, clock.now());
        }
        return m_done_at != absl::InfiniteFuture();
    }

    std::map<std::string, std::shared_ptr<const forward::endpoint_record>> m_endpoints;
    std::int64_t m_started_endpoints = 0;
    std::map<std::string, absl::Time> m_frozen;
    std::map<std::string, std::vector<forward::node_event>> m_late_events;
    absl::Time m_ordered_at = absl::InfinitePast();
    std::size_t m_seen_statuses = 0;
    absl::Time m_done_at = absl::InfiniteFuture();
    chivedeal::platform::json_wire_format m_format;
    std::optional<forward::rollout_order> m_order;
    std::deque<std::map<forward::topic, std::vector<forward::stored_record>>> m_copies;
};

} // namespace chivedeal::fakes

#endif
