#ifndef CHIVEDEAL_FORWARD_CONTROL_DUTIES_HPP
#define CHIVEDEAL_FORWARD_CONTROL_DUTIES_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/era/report_guard.hpp"
#include "chivedeal/forward/control_log.hpp"
#include "chivedeal/forward/demand_meter.hpp"
#include "chivedeal/forward/duty_fence.hpp"
#include "chivedeal/forward/duty_lease.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/endpoints_left.hpp"
#include "chivedeal/forward/event_queue.hpp"
#include "chivedeal/forward/fleet_planner.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/tracked_rollout.hpp"
#include "chivedeal/forward/usage_collector.hpp"
#include "chivedeal/forward/usage_ledger.hpp"
#include "chivedeal/forward/version_split.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal {
class clock;
class metrics;
} // namespace chivedeal

namespace chivedeal::forward {

class duty_api;
class peer_exchange;
class record_store;
class wire_format;

/// Duty for cluster-wide tasks. The holder of the control lease sends usage reports, writes
/// roll-out statuses and orders endpoints. Every node evaluates roll-outs and passes their traffic
/// shares to its own forwarder.
class control_duties : public duty
{
public:
    struct options
    {
        const node_settings& settings;
        const clock& time;
        record_store& store;
        duty_api& platform;
        const wire_format& format;
        event_queue& queue;
        /// Receives the traffic shares of versions that are being rolled out.
        node_event_listener& forwarder;
        peer_exchange& peers;
        /// Epochs of the store that the node's other duties learned of.
        era::epoch_register* epochs = nullptr;
        metrics* counters = nullptr;
    };

    explicit control_duties(options dependencies);

    std::string name() const override { return "control"; }
    void run() override;
    void request_stop() override;

    /// Steps of `run`, which calls `tick` every 250 ms and passes it the queued events.
    void tick(absl::Time now);
    void handle_event(const node_event& event, absl::Time now);

private:
    void advance_lease(absl::Time now);
    bool read_control_log(absl::Time now);
    bool read_lease_records(absl::Time now);
    // Starts anew if the store was restored. Returns whether the newest answer of the store belongs
    // to the epoch in which it was requested, so that it may be used.
    bool follow_epoch(absl::Time now);
    void begin_epoch(std::uint64_t epoch, absl::Time now);
    void rewrite_reports(absl::Time now);
    void count_rewritten(std::initializer_list<log_field> record);
    void publish_reports(absl::Time now);
    bool is_published(std::int64_t window, absl::Time now);
    void append_grant(absl::Time now);
    void register_node(absl::Time now);
    void plan_fleets(absl::Time now);
    void send_order(fleet_planner& planner, const fleet_order& order, absl::Time now);
    fleet_view make_fleet_view(const service_id& service, const scale_spec& spec,
                               absl::Time now) const;
    void report_usage(absl::Time now);
    bool report_window(std::int64_t window, absl::Time now);
    bool plan_report(const usage_report& report, absl::Time now);
    bool send_report(const usage_report& report, absl::Time now);
    std::optional<duty_fence> fence(absl::Time now) const;

    // Roll-outs; see rollout_duties.cpp.
    void begin_rollout(const rollout_order& order, absl::Time now);
    void record_outcomes(const std::string& process, const std::vector<version_outcomes>& outcomes,
                         absl::Time now);
    void adopt_decisions(const std::vector<rollout_status>& decided, absl::Time now);
    void advance_rollouts(absl::Time now);
    // Empty until the endpoints are known.
    std::optional<endpoints_left> left_of(const rollout_order& order) const;
    std::set<version_id> listed_versions(const service_id& service) const;
    // `earlier` is the status of the order before, if it is known.
    void find_stable_versions(tracked_rollout& rollout,
                              const std::optional<rollout_status>& earlier) const;
    void apply_split(const tracked_rollout& rollout, absl::Time now);
    bool must_read_statuses(absl::Time now) const;
    bool may_restore_status(const tracked_rollout& rollout, absl::Time now) const;
    void hand_over_rollouts(absl::Time now);
    bool read_statuses(absl::Time now);
    void write_status(tracked_rollout& rollout, absl::Time now);
    void publish_decisions(absl::Time now);

    const node_settings& m_settings;
    const clock& m_time;
    record_store& m_store;
    duty_api& m_platform;
    const wire_format& m_format;
    event_queue& m_event_queue;
    node_event_listener& m_forwarder;
    peer_exchange& m_peers;

    // Delay that differs from node to node, so that they don't act at the same moment.
    absl::Duration m_stagger;
    duty_lease m_lease;
    control_log m_control_log;
    usage_ledger m_usage_windows;
    absl::Duration m_true_time_offset;
    usage_collector m_usage_collector;
    std::int64_t m_next_window = 0;
    absl::Time m_next_report_attempt = absl::InfinitePast();
    std::map<service_id, tracked_rollout> m_rollouts;
    // Splits that the forwarder applies; absent without one.
    std::map<service_id, std::optional<version_split>> m_applied_splits;
    // End of the status topic at the newest read or append of the holder.
    std::optional<std::uint64_t> m_status_end;
    absl::Time m_next_status_read = absl::InfinitePast();
    std::map<service_id, scale_spec> m_scale_specs;
    std::map<service_id, fleet_planner> m_planners;
    std::map<endpoint_id, endpoint_record> m_endpoints;
    demand_meter m_demand_meter;
    bool m_endpoints_loaded = false;
    bool m_registered = false;
    bool m_was_registered = false;
    int m_listed_nodes = 0;
    era::epoch_register m_own_epochs;
    era::epoch_register& m_epochs;
    metrics* m_counters;
    era::report_guard m_report_guard;
    std::uint64_t m_epoch = 0;
    // Whether the store answered in an epoch, 0 included.
    bool m_has_answer = false;
    bool m_is_log_read = false;
    // A holder or former holder may know planned reports that the store lost.
    bool m_has_held_lease = false;
    absl::Time m_epoch_learned_at = absl::InfinitePast();
    // By window: when this node announced the planned report to its peers.
    std::map<std::int64_t, absl::Time> m_announced_reports;
    absl::Time m_next_registration = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
