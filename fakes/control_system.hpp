#ifndef CHIVEDEAL_FAKES_CONTROL_SYSTEM_HPP
#define CHIVEDEAL_FAKES_CONTROL_SYSTEM_HPP

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
#include <cstdint>
#include <deque>
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

    explicit control_system(std::uint64_t epoch) { topics->epoch = epoch; }

    /// A node that starts reads the order in force, like the configuration.
    void add(const std::string& name)
    {
        nodes[name] = std::make_unique<control_node>(name.c_str(), topics, clock, platform);
        if (m_order)
            nodes[name]->order(*m_order);
    }

    void restart(const std::string& name)
    {
        nodes.erase(name);
        add(name);
    }

    void order(const forward::rollout_order& ordered)
    {
        m_order = ordered;
        for (const auto& [name, node] : nodes)
            node->order(ordered);
    }

    /// Advances all nodes by one tick of the control duty.
    void step()
    {
        for (const auto& [name, node] : nodes) {
            if (m_order)
                node->count_responses(!has_ended(forward::rollout_state::done));
            node->count_requests();
            node->tick();
        }
        for (const auto& [name, node] : nodes)
            for (const auto& [peer_name, peer] : nodes)
                if (peer_name != name && !node->is_cut_off() && !peer->is_cut_off()) {
                    const forward::node_beacon beacon = node->make_beacon();
                    peer->epochs().note(beacon.store_epoch);
                    peer->handle({forward::node_event::peer_heard{
                        std::make_shared<const forward::node_beacon>(beacon), nullptr}});
                }
        clock.advance(tick_interval);
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
                if (const auto status = m_format.decode_rollout_status(record); is_ok(status))
                    states.push_back(get_value(status).state);
        return states;
    }

    bool has_ended(forward::rollout_state with) const
    {
        const auto states = stored_states();
        return std::find(states.begin(), states.end(), with) != states.end();
    }

    fake_clock clock;
    std::shared_ptr<fake_topics> topics = std::make_shared<fake_topics>();
    checking_platform platform;
    std::map<std::string, std::unique_ptr<control_node>> nodes;

private:
    chivedeal::platform::json_wire_format m_format;
    std::optional<forward::rollout_order> m_order;
    std::deque<std::map<forward::topic, std::vector<forward::stored_record>>> m_copies;
};

} // namespace chivedeal::fakes

#endif
