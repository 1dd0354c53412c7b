#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/reclaim_source.hpp"
#include "chivedeal/requests/reclaim_stream.hpp"
#include "chivedeal/requests/reclaim_target.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_policy.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

// For a model of typical size; used only to choose between exporting and recomputing the KV
// cache.
constexpr std::uint64_t kv_bytes_per_token = 131'072;

// Tokens assumed to be left in an answer whose request sets no maximum length.
constexpr std::uint64_t default_answer_tokens = 300;

constexpr absl::Duration replan_interval = absl::Milliseconds(500);

// Assumed for a target that has not reported its load yet.
constexpr int default_free_slots = 4;
constexpr double default_free_kv_bytes = 4e9;

} // namespace

void flow_core::on_event(const view_changed& event)
{
    bool has_new_leaving = false;
    absl::flat_hash_set<endpoint_id> listed;
    for (const membership::endpoint& endpoint : event.view->endpoints) {
        listed.insert(endpoint.id);
        if (endpoint.status == membership::endpoint_status::leaving &&
            m_leaving_endpoints.insert(endpoint.id).second)
            has_new_leaving = true;
    }
    absl::erase_if(m_leaving_endpoints,
                   [&](const endpoint_id& id) { return !listed.contains(id); });
    absl::erase_if(m_load_reports,
                   [&](const auto& report) { return !listed.contains(report.first); });
    m_view = event.view;
    m_limiter.on_view(event.view, m_now);
    m_options.policy.on_view(event.view, m_now);
    if (has_new_leaving && is_enabled(mechanism::reclaim_migration))
        plan_reclaims();
}

// Plans the migration of the streams of all leaving endpoints, including those announced earlier,
// since they share the capacity of the targets.
void flow_core::plan_reclaims()
{
    std::vector<reclaim_source> sources;
    std::vector<reclaim_target> targets;
    for (const membership::endpoint& endpoint : m_view->endpoints) {
        if (endpoint.status == membership::endpoint_status::leaving)
            sources.push_back(make_reclaim_source(endpoint));
        else if (endpoint.kind == state::service_kind::engine)
            targets.push_back(make_reclaim_target(endpoint));
    }
    std::vector<reclaim_stream> streams;
    for (const request_id& request : open_ids()) {
        request_entry* entry = find(request);
        const bool is_migrating =
            entry->planned_step_at != absl::InfiniteFuture() || !entry->kv_target.empty();
        if (entry->live_attempt() && !is_migrating && is_leaving(entry->live_attempt()->target.id))
            streams.push_back(make_reclaim_stream(*entry));
    }
    if (streams.empty())
        return;
    for (const reclaim_step& step : m_planner.plan(streams, sources, targets)) {
        log_event(event_id::reclaim_planned, {{"request", step.request.str()},
                                              {"source", step.source.str()},
                                              {"action", to_string(step.action)},
                                              {"target", step.target.str()},
                                              {"reason", step.reason}});
        request_entry* entry = find(step.request);
        if (entry == nullptr || step.action == reclaim_action::finish)
            continue;
        entry->planned_step = step;
        entry->planned_step_at = m_now + step.start;
        run_planned_step(*entry);
    }
}

// Runs the planned step once it is due; the plan spreads the load of a large reclaim over time.
void flow_core::run_planned_step(request_entry& entry)
{
    if (m_now < entry.planned_step_at)
        return;
    entry.planned_step_at = absl::InfiniteFuture();
    // The plan does not apply to an attempt that has started since on another endpoint.
    if (!entry.live_attempt() || entry.live_attempt()->target.id != entry.planned_step.source)
        return;
    const membership::endpoint* target = find_live_endpoint(entry.planned_step.target);
    if (entry.planned_step.action == reclaim_action::export_kv && target != nullptr) {
        entry.kv_target = target->id;
        m_commands.emplace_back(move_kv{.request = entry.request().id,
                                        .attempt = entry.live_attempt()->number,
                                        .source = entry.live_attempt()->target.listen,
                                        .target = target->id,
                                        .target_address = target->listen});
        return;
    }
    resume_on_another_endpoint(entry, target);
}

reclaim_stream flow_core::make_reclaim_stream(const request_entry& entry) const
{
    const attempt_record& live = *entry.live_attempt();
    const std::uint64_t tokens_so_far = entry.tokens().size();
    const std::uint64_t max_tokens = entry.request().max_tokens;
    const std::uint64_t expected_tokens_left =
        max_tokens == 0 ? default_answer_tokens
                        : std::max(max_tokens, tokens_so_far) - tokens_so_far;
    const std::uint64_t prompt_tokens = entry.prompt_tokens();
    const bool is_engine = live.target.kind == state::service_kind::engine;
    return {.request = entry.request().id,
            .source = live.target.id,
            .service = entry.request().service,
            .version = live.target.version,
            .prompt_tokens = prompt_tokens,
            .tokens_so_far = tokens_so_far,
            .expected_tokens_left = expected_tokens_left,
            // Before the first token, the KV cache is not worth transferring.
            .kv_bytes =
                tokens_so_far == 0 ? 0 : (prompt_tokens + tokens_so_far) * kv_bytes_per_token,
            .movable = is_engine && entry.request().idempotent()};
}

reclaim_source flow_core::make_reclaim_source(const membership::endpoint& endpoint) const
{
    return {.id = endpoint.id,
            .region = endpoint.region,
            .zone = endpoint.zone,
            .time_left = endpoint.reclaim_at - m_now};
}

reclaim_target flow_core::make_reclaim_target(const membership::endpoint& endpoint) const
{
    reclaim_target target{.id = endpoint.id,
                          .region = endpoint.region,
                          .zone = endpoint.zone,
                          .service = endpoint.service,
                          .version = endpoint.version,
                          .free_slots = default_free_slots,
                          .free_kv_bytes = default_free_kv_bytes};
    const auto it = m_load_reports.find(endpoint.id);
    if (it == m_load_reports.end())
        return target;
    const load_report& load = it->second;
    target.free_slots = std::max(load.slots - load.running - load.queued, 0);
    target.free_kv_bytes = std::max(load.kv_limit - load.kv_used, 0.0) * kv_bytes_per_token;
    return target;
}

const membership::endpoint* flow_core::find_live_endpoint(const endpoint_id& id) const
{
    for (const membership::endpoint& endpoint : m_view->endpoints)
        if (endpoint.id == id && endpoint.status == membership::endpoint_status::live)
            return &endpoint;
    return nullptr;
}

void flow_core::on_event(const kv_moved& event)
{
    request_entry* entry = find(event.request);
    if (entry == nullptr || !entry->live_attempt() ||
        entry->live_attempt()->number != event.attempt || entry->kv_target != event.target)
        return;
    const membership::endpoint* target = find_live_endpoint(event.target);
    if (event.handle.empty() || target == nullptr) {
        resume_on_another_endpoint(*entry, target);
        return;
    }
    log_event(event_id::stream_migrated,
              {{"request", event.request.str()}, {"how", "kv"}, {"endpoint", event.target.str()}});
    stop_attempt(*entry);
    start_attempt_at(*entry, *target, event.handle);
}

// Resumes the stream from its tokens on `target`, or on an endpoint chosen by the routing policy if
// it is null. If none is available, the stream stays and is tried again after `replan_interval`.
void flow_core::resume_on_another_endpoint(request_entry& entry, const membership::endpoint* target)
{
    entry.query().excluded.insert(entry.live_attempt()->target.id);
    entry.planned_step.action = reclaim_action::resume_tokens;
    membership::endpoint chosen;
    if (target == nullptr) {
        const auto choice = m_options.policy.choose(entry.query(), m_now);
        if (!is_ok(choice)) {
            entry.planned_step_at = m_now + replan_interval;
            return;
        }
        chosen = get_value(choice).target;
        target = &chosen;
    }
    log_event(
        event_id::stream_migrated,
        {{"request", entry.request().id.str()}, {"how", "tokens"}, {"endpoint", target->id.str()}});
    stop_attempt(entry);
    start_attempt_at(entry, *target, {});
}

} // namespace chivedeal::requests::detail
