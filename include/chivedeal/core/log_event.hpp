#ifndef CHIVEDEAL_CORE_LOG_EVENT_HPP
#define CHIVEDEAL_CORE_LOG_EVENT_HPP

#include "absl/strings/string_view.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace chivedeal {

/// Numbered log events; docs/log-events.md is their catalogue.
/// Numbers are stable: 1xxx core, 2xxx state, 3xxx membership, 4xxx control, 5xxx requests,
/// 6xxx operators.
enum class event_id : int
{
    node_started = 1001,
    node_stopped = 1002,
    child_restarted = 1003,
    supervisor_gave_up = 1004,
    settings_reloaded = 1005,
    log_lines_dropped = 1006,
    stop_signal_received = 1007,

    change_accepted = 2001,
    change_rejected = 2002,
    log_unreachable = 2003,
    log_recovered = 2004,
    snapshot_adopted = 2005,
    snapshot_written = 2006,
    record_ignored = 2007,
    node_ready = 2008,
    configuration_applied = 2009,
    record_rejected = 2010,
    store_unreachable = 2011,
    store_recovered = 2012,
    store_restored = 2013,
    record_rewritten = 2014,

    peer_joined = 3001,
    peer_suspected = 3002,
    peer_dead = 3003,
    peer_leaving = 3004,
    endpoint_listed = 3005,
    endpoint_leaving = 3006,
    endpoint_gone = 3007,
    fact_learnt = 3008,
    platform_list_unreachable = 3009,
    records_fetched_from_peer = 3010,
    endpoint_announced_leaving = 3011,
    endpoint_removal_deferred = 3012,
    endpoint_crashed = 3013,
    endpoint_retry_after = 3014,
    evacuations_changed = 3020,

    lease_acquired = 4001,
    lease_lost = 4002,
    move_step_decided = 4003,
    move_done = 4004,
    move_rolled_back = 4005,
    version_found_bad = 4006,
    placement_decided = 4007,
    instance_started = 4008,
    instance_start_refused = 4009,
    instance_stopped = 4010,
    order_sent = 4011,
    order_refused = 4012,
    usage_reported = 4013,
    usage_report_failed = 4014,
    usage_report_withheld = 4015,

    route_chosen = 5001,
    request_refused = 5002,
    request_finished = 5003,
    attempt_failed = 5004,
    attempt_retried = 5005,
    stale_event_dropped = 5006,
    stream_migrated = 5007,
    claim_decided = 5008,
    reclaim_planned = 5009,
    stream_handed_off = 5010,
    drain_started = 5011,
    drain_finished = 5012,
    endpoint_report_missing = 5013,
    prompt_part_blocked = 5014,
    prompt_part_released = 5015,
    prompt_trial_sent = 5016,
    callers_shed = 5017,

    operator_request_rejected = 6001,
};

/// Returns the event's name as the catalogue spells it, `unknown_event` for a number not listed.
std::string to_string(event_id event);

/// Returns all events in ascending order, so that a test can compare them with the catalogue.
const std::vector<event_id>& all_event_ids();

/// One `key=value` of a log line.
struct log_field
{
    absl::string_view key;
    std::string value;
};

/// Formats as `CD5001 route_chosen key=value key="value with spaces"`.
std::string format_log_event(event_id event, std::initializer_list<log_field> fields);

/// Writes one line at level INFO.
///
///     log_event(event_id::peer_dead, {{"peer", peer.str()}});
void log_event(event_id event, std::initializer_list<log_field> fields);

} // namespace chivedeal

#endif
