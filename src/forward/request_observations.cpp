// The part of request_runner that records what requests show of endpoints, versions and prompts.
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/request_format.hpp"
#include "chivedeal/forward/request_runner.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::forward {

namespace {

// An endpoint that has sent response data for this long doesn't crash on the prompt.
constexpr absl::Duration min_sound_response_time = absl::Milliseconds(500);
// Limits delays that overflow a time.
constexpr absl::Duration max_endpoint_retry_delay = absl::Hours(24 * 365);

} // namespace

void request_runner::record_response_head(const exchange& current, const http_response_head& head,
                                          absl::Time now)
{
    record_announced_leaving(current, head, now);
    if (!head.is_attributed)
        return;
    record_retry_after(current, head, now);
    record_load(current, head, now);
    record_cold(current, head, now);
}

void request_runner::record_load(const exchange& current, const http_response_head& head,
                                 absl::Time now)
{
    const std::string* text = find_field(head.fields, m_names.endpoint_load);
    // A response with status 421 comes from another endpoint.
    if (text == nullptr || head.status == 421)
        return;
    const auto reading = endpoints::parse_load_reading(*text);
    if (!reading) {
        m_counters.add("chivedeal_endpoint_load_malformed_total", 1);
        return;
    }
    m_counters.add("chivedeal_endpoint_load_readings_total", 1);
    m_pool.on_load_reading(current.attempt_choice->id, *reading, now);
}

void request_runner::record_announced_leaving(const exchange& current,
                                              const http_response_head& head, absl::Time now)
{
    const std::string* announced = find_field(head.fields, m_names.leaving);
    // A response with status 421 comes from another endpoint.
    if (announced == nullptr || *announced != "1" || head.status == 421)
        return;
    if (m_pool.on_announced_leaving(*current.attempt_choice, now))
        log_event(
            event_id::endpoint_announced_leaving,
            {{"endpoint", current.attempt_choice->id.str()}, {"request", current.head.id.str()}});
}

void request_runner::record_retry_after(const exchange& current, const http_response_head& head,
                                        absl::Time now)
{
    const std::string* text = find_field(head.fields, "Retry-After");
    double seconds = 0;
    if (head.status != 503 || text == nullptr || !absl::SimpleAtod(*text, &seconds) ||
        !(seconds > 0))
        return;
    const absl::Duration delay = std::min(absl::Seconds(seconds), max_endpoint_retry_delay);
    m_pool.on_retry_after(*current.attempt_choice, now + delay, now);
    m_counters.add("chivedeal_endpoint_retry_after_total", 1);
    log_event(event_id::endpoint_retry_after,
              {{"endpoint", current.attempt_choice->id.str()},
               {"request", current.head.id.str()},
               {"delay_ms", absl::StrCat(absl::ToInt64Milliseconds(delay))}});
}

void request_runner::record_first_byte(exchange& current, absl::Time now)
{
    if (current.first_byte_at == absl::InfiniteFuture())
        current.first_byte_at = now;
    const absl::Duration late =
        now - current.attempt_started_at - current.attempt_choice->predicted_first_byte_time;
    m_pool.on_first_byte(current.attempt_choice->id, current.query, late, now);
    record_response_time(current, late, now);
    current.attempt_body_started = true;
    current.attempt_body_started_at = now;
    current.attempt_later_bytes = 0;
    count_usage(current, now);
}

void request_runner::record_cold(const exchange& current, const http_response_head& head,
                                 absl::Time now)
{
    const std::string* value = find_field(head.fields, m_names.cold_ms);
    std::int64_t remaining_ms = 0;
    // A response with status 421 comes from another endpoint.
    if (value != nullptr && head.status != 421 && absl::SimpleAtoi(*value, &remaining_ms) &&
        remaining_ms >= 0)
        m_pool.gate().on_cold_reported(current.attempt_choice->id, absl::Milliseconds(remaining_ms),
                                       now);
}

void request_runner::record_response_time(const exchange& current, absl::Duration late,
                                          absl::Time now)
{
    // A fast error says nothing about the speed of the endpoint.
    if (current.response_head.status / 100 != 2)
        return;
    m_pool.on_response_time(*current.attempt_choice, now - current.attempt_started_at, now);
    m_counters.observe("chivedeal_first_byte_prediction_error_seconds",
                       std::abs(absl::ToDoubleSeconds(late)));
}

void request_runner::record_timeout(const exchange& current, absl::Time now)
{
    m_pool.on_timeout(current.attempt_choice->id, now);
    if (!current.attempt_body_started)
        m_pool.on_no_response(*current.attempt_choice, now - current.attempt_started_at, now);
}

void request_runner::record_later_bytes(exchange& current, std::size_t bytes, absl::Time now)
{
    m_pool.on_bytes(current.attempt_choice->id, now);
    current.attempt_later_bytes += bytes;
    current.attempt_last_byte_at = now;
    if (now - current.attempt_body_started_at >= min_sound_response_time)
        record_sound_prompt(current, now);
}

void request_runner::record_sound_prompt(exchange& current, absl::Time now)
{
    if (!std::exchange(current.prompt_is_sound, true))
        m_quarantine.on_sound(current.head.prefix, now);
}

void request_runner::record_trial(const exchange& current, absl::Time now)
{
    if (!m_quarantine.on_sending(current.head.prefix, now))
        return;
    m_counters.add("chivedeal_prompt_trials_total", 1);
    log_event(event_id::prompt_trial_sent, {{"request", current.head.id.str()},
                                            {"parts", shared_part_ids(current.head.prefix)}});
}

void request_runner::record_lost_request(const exchange& current, absl::Time now)
{
    if (current.prompt_is_sound || current.head.prefix.size() < 2)
        return;
    const endpoint_choice& endpoint = *current.attempt_choice;
    if (m_crashes.on_request_lost(endpoint, current.head.prefix) &&
        (m_pool.gate().is_evacuated(endpoint.id) ||
         !m_endpoints.probe(endpoint.id, endpoint.address, now)))
        m_crashes.on_probed(endpoint.id, probe_result::unknown, now);
}

void request_runner::on_probe_ended(const endpoint_id& endpoint, probe_result result,
                                    absl::Time now)
{
    const std::size_t lost_requests = m_crashes.on_probed(endpoint, result, now);
    if (lost_requests == 0)
        return;
    m_counters.add("chivedeal_endpoint_crashes_total", 1);
    log_event(event_id::endpoint_crashed,
              {{"endpoint", endpoint.str()}, {"suspect_requests", absl::StrCat(lost_requests)}});
}

void request_runner::report_quarantine_changes()
{
    for (const quarantine_change& change : m_quarantine.take_changes()) {
        m_counters.add(change.blocked ? "chivedeal_prompt_parts_blocked_total"
                                      : "chivedeal_prompt_parts_released_total",
                       1);
        log_event(change.blocked ? event_id::prompt_part_blocked : event_id::prompt_part_released,
                  {{"part", change.part}, {"crashes", absl::StrCat(change.crashes)}});
    }
}

void request_runner::count_usage(exchange& current, absl::Time now)
{
    if (current.usage_counted || current.match.workspace == nullptr)
        return;
    current.usage_counted = true;
    m_usage.count_start(current.match.workspace->name, now + m_true_time_offset);
}

void request_runner::count_failure(const exchange& current, absl::Time now)
{
    if (current.attempt_choice)
        m_outcomes.count(current.query.service, current.attempt_choice->version,
                         current.match.matched->name, false, now);
}

void request_runner::count_response(const exchange& current, std::optional<double> pace,
                                    bool in_time, absl::Time now)
{
    m_outcomes.count_response(current.query.service, current.attempt_choice->version,
                              current.match.matched->name, pace, in_time, now);
}

} // namespace chivedeal::forward
