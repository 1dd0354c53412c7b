#include "chivedeal/core/log_event.hpp"

#include "chivedeal/core/log_writer.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <glog/logging.h>

#include <cstddef>

namespace chivedeal {

namespace {

// The lines that wait to be written are limited by number only, and a value may come from a caller.
constexpr std::size_t max_value_bytes = 512;

// Quotes a value that would break the key=value form; a line break would forge a second event.
std::string quote_if_needed(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r\t") == std::string::npos)
        return value;
    return absl::StrCat(
        "\"",
        absl::StrReplaceAll(value, {{"\"", "\\\""}, {"\n", "\\n"}, {"\r", "\\r"}, {"\t", "\\t"}}),
        "\"");
}

} // namespace

std::string to_string(event_id event)
{
    switch (event) {
    case event_id::node_started:
        return "node_started";
    case event_id::node_stopped:
        return "node_stopped";
    case event_id::child_restarted:
        return "child_restarted";
    case event_id::supervisor_gave_up:
        return "supervisor_gave_up";
    case event_id::settings_reloaded:
        return "settings_reloaded";
    case event_id::log_lines_dropped:
        return "log_lines_dropped";
    case event_id::stop_signal_received:
        return "stop_signal_received";
    case event_id::change_accepted:
        return "change_accepted";
    case event_id::change_rejected:
        return "change_rejected";
    case event_id::log_unreachable:
        return "log_unreachable";
    case event_id::log_recovered:
        return "log_recovered";
    case event_id::snapshot_adopted:
        return "snapshot_adopted";
    case event_id::snapshot_written:
        return "snapshot_written";
    case event_id::record_ignored:
        return "record_ignored";
    case event_id::node_ready:
        return "node_ready";
    case event_id::configuration_applied:
        return "configuration_applied";
    case event_id::record_rejected:
        return "record_rejected";
    case event_id::store_unreachable:
        return "store_unreachable";
    case event_id::store_recovered:
        return "store_recovered";
    case event_id::store_restored:
        return "store_restored";
    case event_id::record_rewritten:
        return "record_rewritten";
    case event_id::peer_joined:
        return "peer_joined";
    case event_id::peer_suspected:
        return "peer_suspected";
    case event_id::peer_dead:
        return "peer_dead";
    case event_id::peer_leaving:
        return "peer_leaving";
    case event_id::endpoint_listed:
        return "endpoint_listed";
    case event_id::endpoint_leaving:
        return "endpoint_leaving";
    case event_id::endpoint_gone:
        return "endpoint_gone";
    case event_id::fact_learnt:
        return "fact_learnt";
    case event_id::platform_list_unreachable:
        return "platform_list_unreachable";
    case event_id::records_fetched_from_peer:
        return "records_fetched_from_peer";
    case event_id::endpoint_announced_leaving:
        return "endpoint_announced_leaving";
    case event_id::endpoint_removal_deferred:
        return "endpoint_removal_deferred";
    case event_id::endpoint_crashed:
        return "endpoint_crashed";
    case event_id::endpoint_retry_after:
        return "endpoint_retry_after";
    case event_id::evacuations_changed:
        return "evacuations_changed";
    case event_id::lease_acquired:
        return "lease_acquired";
    case event_id::lease_lost:
        return "lease_lost";
    case event_id::move_step_decided:
        return "move_step_decided";
    case event_id::move_done:
        return "move_done";
    case event_id::move_rolled_back:
        return "move_rolled_back";
    case event_id::version_found_bad:
        return "version_found_bad";
    case event_id::placement_decided:
        return "placement_decided";
    case event_id::instance_started:
        return "instance_started";
    case event_id::instance_start_refused:
        return "instance_start_refused";
    case event_id::instance_stopped:
        return "instance_stopped";
    case event_id::order_sent:
        return "order_sent";
    case event_id::order_refused:
        return "order_refused";
    case event_id::usage_reported:
        return "usage_reported";
    case event_id::usage_report_failed:
        return "usage_report_failed";
    case event_id::usage_report_withheld:
        return "usage_report_withheld";
    case event_id::route_chosen:
        return "route_chosen";
    case event_id::request_refused:
        return "request_refused";
    case event_id::request_finished:
        return "request_finished";
    case event_id::attempt_failed:
        return "attempt_failed";
    case event_id::attempt_retried:
        return "attempt_retried";
    case event_id::stale_event_dropped:
        return "stale_event_dropped";
    case event_id::stream_migrated:
        return "stream_migrated";
    case event_id::claim_decided:
        return "claim_decided";
    case event_id::reclaim_planned:
        return "reclaim_planned";
    case event_id::stream_handed_off:
        return "stream_handed_off";
    case event_id::drain_started:
        return "drain_started";
    case event_id::drain_finished:
        return "drain_finished";
    case event_id::endpoint_report_missing:
        return "endpoint_report_missing";
    case event_id::prompt_part_blocked:
        return "prompt_part_blocked";
    case event_id::prompt_part_released:
        return "prompt_part_released";
    case event_id::prompt_trial_sent:
        return "prompt_trial_sent";
    case event_id::callers_shed:
        return "callers_shed";
    case event_id::operator_request_rejected:
        return "operator_request_rejected";
    }
    return "unknown_event";
}

const std::vector<event_id>& all_event_ids()
{
    static const std::vector<event_id> events{
        event_id::node_started,
        event_id::node_stopped,
        event_id::child_restarted,
        event_id::supervisor_gave_up,
        event_id::settings_reloaded,
        event_id::log_lines_dropped,
        event_id::stop_signal_received,
        event_id::change_accepted,
        event_id::change_rejected,
        event_id::log_unreachable,
        event_id::log_recovered,
        event_id::snapshot_adopted,
        event_id::snapshot_written,
        event_id::record_ignored,
        event_id::node_ready,
        event_id::configuration_applied,
        event_id::record_rejected,
        event_id::store_unreachable,
        event_id::store_recovered,
        event_id::store_restored,
        event_id::record_rewritten,
        event_id::peer_joined,
        event_id::peer_suspected,
        event_id::peer_dead,
        event_id::peer_leaving,
        event_id::endpoint_listed,
        event_id::endpoint_leaving,
        event_id::endpoint_gone,
        event_id::fact_learnt,
        event_id::platform_list_unreachable,
        event_id::records_fetched_from_peer,
        event_id::endpoint_announced_leaving,
        event_id::endpoint_removal_deferred,
        event_id::endpoint_crashed,
        event_id::endpoint_retry_after,
        event_id::evacuations_changed,
        event_id::lease_acquired,
        event_id::lease_lost,
        event_id::move_step_decided,
        event_id::move_done,
        event_id::move_rolled_back,
        event_id::version_found_bad,
        event_id::placement_decided,
        event_id::instance_started,
        event_id::instance_start_refused,
        event_id::instance_stopped,
        event_id::order_sent,
        event_id::order_refused,
        event_id::usage_reported,
        event_id::usage_report_failed,
        event_id::usage_report_withheld,
        event_id::route_chosen,
        event_id::request_refused,
        event_id::request_finished,
        event_id::attempt_failed,
        event_id::attempt_retried,
        event_id::stale_event_dropped,
        event_id::stream_migrated,
        event_id::claim_decided,
        event_id::reclaim_planned,
        event_id::stream_handed_off,
        event_id::drain_started,
        event_id::drain_finished,
        event_id::endpoint_report_missing,
        event_id::prompt_part_blocked,
        event_id::prompt_part_released,
        event_id::prompt_trial_sent,
        event_id::callers_shed,
        event_id::operator_request_rejected,
    };
    return events;
}

std::string format_log_event(event_id event, std::initializer_list<log_field> fields)
{
    std::string line = absl::StrCat("CD", static_cast<int>(event), " ", to_string(event));
    for (const log_field& field : fields)
        absl::StrAppend(&line, " ", field.key, "=",
                        quote_if_needed(field.value.substr(0, max_value_bytes)));
    return line;
}

void log_event(event_id event, std::initializer_list<log_field> fields)
{
    if (log_writer* writer = log_writer::installed())
        writer->write(format_log_event(event, fields));
    else
        LOG(INFO) << format_log_event(event, fields);
}

} // namespace chivedeal
