#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

constexpr int max_load_band = 3;

int load_band_of(const load_report& report)
{
    const int slots = std::max(report.slots, 1);
    return std::min(report.running * (max_load_band + 1) / slots, max_load_band);
}

} // namespace

void flow_core::start_attempt(request_entry& entry)
{
    entry.retry_at = absl::InfiniteFuture();
    auto chosen = m_options.policy.choose(entry.query(), m_now);
    if (!is_ok(chosen) && !entry.query().excluded.empty()) {
        // Clear the exclusions: an endpoint that has failed once is better than none.
        entry.query().excluded.clear();
        chosen = m_options.policy.choose(entry.query(), m_now);
    }
    if (!is_ok(chosen)) {
        retry_or_finish(entry, get_error(chosen));
        return;
    }
    const route_choice& choice = get_value(chosen);
    log_event(event_id::route_chosen, {{"request", entry.request().id.str()},
                                       {"endpoint", choice.target.id.str()},
                                       {"reason", choice.reason},
                                       {"score", absl::StrCat(choice.score)},
                                       {"weighed", choice.candidates}});
    start_attempt_at(entry, choice.target, {});
}

void flow_core::start_attempt_at(request_entry& entry, const membership::endpoint& target,
                                 std::string kv_handle)
{
    const caller_request& request = entry.request();
    if (entry.last_attempt() == 0)
        m_budget.on_first_attempt(m_now);
    const auto report = m_load_reports.find(target.id);
    const attempt_record& attempt = entry.begin_attempt(
        {.target = target,
         .started_at = m_now,
         .load_band = report == m_load_reports.end() ? 0 : load_band_of(report->second),
         .has_imported_kv = !kv_handle.empty()});
    m_options.policy.on_attempt_started(target.id, entry.query(), m_now);
    m_commands.emplace_back(attempt_start{.request = request.id,
                                          .attempt = attempt.number,
                                          .endpoint = target.id,
                                          .target = target.listen,
                                          .kind = target.kind,
                                          .version = target.version,
                                          .priority = request.priority,
                                          .idempotency_key = request.idempotency_key,
                                          .deadline = request.deadline,
                                          .body = request.body,
                                          .tokens_so_far = entry.tokens(),
                                          .kv_handle = std::move(kv_handle)});
}

void flow_core::on_event(const attempt_event& event)
{
    request_entry* entry = find(event.request);
    const bool live =
        entry != nullptr && entry->live_attempt() &&
        (entry->live_attempt()->number == event.attempt || !is_enabled(mechanism::attempt_fencing));
    if (!live) {
        log_event(event_id::stale_event_dropped,
                  {{"request", event.request.str()}, {"attempt", absl::StrCat(event.attempt)}});
        count("chivedeal_stale_events_total");
        return;
    }
    std::visit([&](const auto& body) { on_attempt_event(*entry, body); }, event.body);
}

void flow_core::on_attempt_event(request_entry& entry, const attempt_started& event)
{
    const attempt_record& live = *entry.live_attempt();
    const std::uint64_t cached = std::min(event.cached_tokens, event.prompt_tokens);
    m_options.policy.on_cached(live.target.id, entry.query(), cached, m_now);
    const std::uint64_t resumed_tokens = live.has_imported_kv ? 0 : entry.tokens().size();
    count("chivedeal_tokens_recomputed_total",
          static_cast<double>(event.prompt_tokens - cached + resumed_tokens));
    entry.evidence.may_have_run = true;
}

void flow_core::on_attempt_event(request_entry& entry, const attempt_token& event)
{
    const auto effect = entry.add_token(event.position, event.text);
    if (effect == request_entry::token_effect::duplicate) {
        count("chivedeal_stale_events_total");
        return;
    }
    if (effect == request_entry::token_effect::gap) {
        const error skipped{.code = result_code::endpoint_failed,
                            .message = "the endpoint skipped a token"};
        stop_attempt(entry);
        retry_or_finish(entry, skipped);
        return;
    }
    entry.record_first_token(m_now);
    if (event.position == 0 && m_options.counters != nullptr)
        m_options.counters->observe("chivedeal_first_token_seconds",
                                    absl::ToDoubleSeconds(m_now - entry.arrived()));
    send(entry.request().id, entry.connection(),
         answer_token{.position = event.position, .text = event.text});
}

void flow_core::on_attempt_event(request_entry& entry, const attempt_ended& /*event*/)
{
    close_attempt(entry, false);
    finish(entry, outcome::answered, {});
}

void flow_core::on_attempt_event(request_entry& entry, const attempt_failed& event)
{
    log_event(event_id::attempt_failed, {{"request", entry.request().id.str()},
                                         {"endpoint", entry.live_attempt()->target.id.str()},
                                         {"reason", to_string(event.reason)}});
    const bool leaving = is_leaving(entry.live_attempt()->target.id);
    exclude(entry, entry.live_attempt()->target);
    entry.evidence = evidence_after_failure(entry.evidence, event.reason.code);
    close_attempt(entry, event.reason.code != result_code::endpoint_not_started);
    // Retries after an announced reclaim do not spend the retry budget: a large reclaim would
    // exhaust it before the last streams are retried.
    if (leaving && is_enabled(mechanism::reclaim_migration) && may_retry(entry, event.reason))
        start_attempt(entry);
    else
        retry_or_finish(entry, event.reason);
}

void flow_core::exclude(request_entry& entry, const membership::endpoint& failed)
{
    auto& excluded = entry.query().excluded;
    const auto in_zone = [&](const membership::endpoint& endpoint) {
        return endpoint.zone == failed.zone;
    };
    const bool zone_failed_before =
        m_view != nullptr &&
        std::any_of(m_view->endpoints.begin(), m_view->endpoints.end(), [&](const auto& endpoint) {
            return in_zone(endpoint) && excluded.contains(endpoint.id);
        });
    excluded.insert(failed.id);
    if (!zone_failed_before)
        return;
    // A second endpoint of the zone failed: the zone itself has probably failed.
    for (const membership::endpoint& endpoint : m_view->endpoints)
        if (in_zone(endpoint))
            excluded.insert(endpoint.id);
}

bool flow_core::may_retry(const request_entry& entry, const error& reason) const
{
    if (reason.code == result_code::unknown_service || entry.last_attempt() == 0)
        return false;
    // A non-idempotent request that may have run is never sent again.
    if (!entry.request().idempotent() && entry.evidence.may_have_run &&
        is_enabled(mechanism::claims))
        return false;
    if (!entry.tokens().empty() && !is_enabled(mechanism::stream_resume))
        return false;
    return entry.failures < m_options.max_attempts;
}

void flow_core::retry_or_finish(request_entry& entry, const error& reason)
{
    ++entry.failures;
    const absl::Time retry_at = m_now + m_backoff.delay(entry.request().id, entry.failures);
    if (!may_retry(entry, reason) || retry_at >= entry.request().deadline) {
        finish(entry, failure_outcome(entry.evidence), reason);
        return;
    }
    if (is_enabled(mechanism::retry_budget) && !m_budget.try_spend(m_now)) {
        finish(entry, failure_outcome(entry.evidence),
               {.code = result_code::retry_budget_exhausted, .message = to_string(reason)});
        return;
    }
    log_event(event_id::attempt_retried, {{"request", entry.request().id.str()},
                                          {"attempt", absl::StrCat(entry.last_attempt() + 1)},
                                          {"reason", to_string(reason)}});
    count("chivedeal_retries_total");
    entry.retry_at = retry_at;
}

void flow_core::stop_attempt(request_entry& entry)
{
    if (!entry.live_attempt())
        return;
    m_commands.emplace_back(cancel_attempt{.request = entry.request().id,
                                           .attempt = entry.live_attempt()->number,
                                           .target = entry.live_attempt()->target.listen});
    // It is unknown whether the endpoint received the attempt, so the request may have run.
    entry.evidence = evidence_after_failure(entry.evidence, result_code::endpoint_lost);
    close_attempt(entry, false);
}

void flow_core::close_attempt(request_entry& entry, bool failed)
{
    const attempt_record& live = *entry.live_attempt();
    m_options.policy.on_attempt_ended(live.target.id, entry.query(), failed, m_now);
    report_sample(entry, failed);
    entry.end_attempt();
    entry.kv_target = {};
}

void flow_core::report_sample(const request_entry& entry, bool failed)
{
    const attempt_record& live = *entry.live_attempt();
    const bool has_token = live.first_token_at != absl::InfiniteFuture();
    // A failure caused by a reclaim is no evidence about the version.
    if (m_state == nullptr || (failed && is_leaving(live.target.id)))
        return;
    const auto service = m_state->services.find(entry.request().service);
    const absl::Duration first_token = (has_token ? live.first_token_at : m_now) - live.started_at;
    const bool slow =
        service != m_state->services.end() && first_token > service->second->latency_target;
    // An attempt stopped before its first token and within the latency target is no evidence.
    if (!failed && !has_token && !slow)
        return;
    const auto version = m_state->versions.find({entry.request().service, live.target.version});
    m_commands.emplace_back(
        add_sample{{.service = entry.request().service,
                    .version = live.target.version,
                    .declared_offset =
                        version == m_state->versions.end() ? 0 : version->second->declared_offset,
                    .route = entry.request().route,
                    .endpoint = live.target.id,
                    .load_band = live.load_band,
                    .failed = failed,
                    .time_to_first_token = first_token,
                    .slow = slow}});
}

} // namespace chivedeal::requests::detail
