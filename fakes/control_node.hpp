#ifndef CHIVEDEAL_FAKES_CONTROL_NODE_HPP
#define CHIVEDEAL_FAKES_CONTROL_NODE_HPP

#include "chivedeal/core/metrics.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/forward/control_duties.hpp"
#include "chivedeal/forward/event_queue.hpp"
#include "chivedeal/forward/local_state.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_outcomes.hpp"
#include "chivedeal/forward/version_split.hpp"
#include "fakes/fake_clock.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace chivedeal::fakes {

/// The control duties of one node, stepped by the test.
class control_node
{
public:
    control_node(const char* name, const std::shared_ptr<fake_topics>& topics,
                 const fake_clock& clock, forward::duty_api& platform)
        : m_settings{.node = node_id(name), .unproven_slack_requests = 50, .reports_usage = true},
          m_clock(clock),
          m_store(topics),
          m_control({.settings = m_settings,
                     .time = clock,
                     .store = m_store,
                     .platform = platform,
                     .format = m_format,
                     .queue = m_queue,
                     .forwarder = m_forwarder,
                     .peers = m_peers,
                     .epochs = &m_epochs,
                     .counters = &m_counters})
    {}

    /// Starts to count the responses of the order's versions, as the forwarder does.
    void order(const forward::rollout_order& ordered)
    {
        m_outcomes = {
            .service = ordered.service, .target = ordered.target, .order_offset = ordered.offset};
        handle({forward::node_event::rollout_ordered{ordered}});
    }

    /// Counts the responses of one tick by the version that the node's share selects. One in seven
    /// of the other version fails. Returns the failures of the order's version.
    int count_responses(bool has_old_endpoints, int target_failure_interval)
    {
        const double target_share = share().value_or(has_old_endpoints ? 0.5 : 1);
        const int to_target = target_share <= 0                       ? 0
                              : target_share < 1 && has_old_endpoints ? 1
                                                                      : responses_per_tick;
        int target_failures = 0;
        for (int i = 0; i < to_target; ++i)
            target_failures += ++m_target_responses % target_failure_interval == 0 ? 1 : 0;
        m_outcomes.target_bad += target_failures;
        m_outcomes.target_good += to_target - target_failures;
        for (int i = to_target; has_old_endpoints && i < responses_per_tick; ++i)
            ++(++m_other_responses % 7 == 0 ? m_outcomes.other_bad : m_outcomes.other_good);
        return target_failures;
    }

    /// Replaces the counts of the order's versions.
    void set_outcomes(const forward::version_outcomes& outcomes) { m_outcomes = outcomes; }

    /// The newest traffic split that the forwarder got.
    std::optional<forward::version_split> split() const
    {
        const auto newest = m_forwarder.newest<forward::node_event::version_split_changed>();
        return newest && newest->split ? std::optional(*newest->split) : std::nullopt;
    }

    /// The share of the target version that the forwarder applies; absent without a split.
    std::optional<double> share() const
    {
        const auto newest = split();
        return newest ? std::optional<double>(newest->share) : std::nullopt;
    }

    void set_cut_off(bool value)
    {
        set_cut_off_from_peers(value);
        m_store.set_cut_off(value);
    }
    void set_cut_off_from_peers(bool value) { m_is_cut_off_from_peers = value; }
    bool is_cut_off_from_peers() const { return m_is_cut_off_from_peers; }

    void tick() { m_control.tick(m_clock.now()); }
    void handle(const forward::node_event& event) { m_control.handle_event(event, m_clock.now()); }

    /// Each call counts one more request for recent windows, so that a total that is computed again
    /// differs.
    void count_requests()
    {
        const std::int64_t current = absl::ToUnixSeconds(m_clock.now()) / 5;
        forward::local_state state;
        if (!m_outcomes.service.empty())
            state.outcomes.push_back(m_outcomes);
        for (std::int64_t window = current - 3; window <= current; ++window)
            state.usage.push_back(
                {.window = window, .counts = {{workspace_id("w"), ++m_requests}}});
        handle({forward::node_event::local_counters_updated{
            std::make_shared<const forward::local_state>(state)}});
        m_peers.publish(state);
    }

    forward::node_beacon make_beacon() { return m_peers.make_beacon(); }
    forward::node_beacon make_reply() { return m_peers.make_reply(); }

    era::epoch_register& epochs() { return m_epochs; }
    metrics& counters() { return m_counters; }

private:
    static constexpr int responses_per_tick = 12;

    forward::node_settings m_settings;
    const fake_clock& m_clock;
    fake_record_store m_store;
    forward::event_queue m_queue{64};
    fake_node_event_listener m_forwarder;
    fake_node_event_listener m_listener;
    chivedeal::platform::json_wire_format m_format;
    era::epoch_register m_epochs;
    metrics m_counters;
    forward::peer_exchange m_peers{{.settings = m_settings,
                                    .time = m_clock,
                                    .listeners = {},
                                    .prompt_listener = m_listener,
                                    .epochs = &m_epochs}};
    forward::control_duties m_control;
    std::int64_t m_requests = 0;
    forward::version_outcomes m_outcomes;
    int m_target_responses = 0;
    int m_other_responses = 0;
    bool m_is_cut_off_from_peers = false;
};

} // namespace chivedeal::fakes

#endif
