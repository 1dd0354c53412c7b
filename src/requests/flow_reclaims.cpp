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

// Of a model of the usual size; decides only between export and recomputation.
constexpr std::uint64_t kv_bytes_per_token = 131'072;

// Assumed to be left of an answer whose request names no length.
constexpr std::uint64_t usual_answer_tokens = 300;

constexpr absl::Duration replan_interval = absl::Milliseconds(500);

// Assumed of a target whose load is not reported yet.
constexpr int unknown_free_slots = 4;
constexpr double unknown_free_kv_bytes = 4e9;

} // namespace

void flow_core::take(const view_changed& event)
{
    bool new_leaving = false;
    absl::flat_hash_set<endpoint_id> listed;
    for (const membership::endpoint& one : event.view->endpoints) {
        listed.insert(one.id);
        if (one.status == membership::endpoint_status::leaving && m_leaving.insert(one.id).second)
            new_leaving = true;
    }
    absl::erase_if(m_leaving, [&](const endpoint_id& id) { return !listed.contains(id); });
    absl::erase_if(m_loads, [&](const auto& load) { return !listed.contains(load.first); });
    m_view = event.view;
    m_limiter.on_view(event.view, m_now);
    m_options.policy.on_view(event.view, m_now);
    if (new_leaving && is_enabled(mechanism::reclaim_migration))
        plan_reclaims();
}

// Plans the streams of all endpoints that are leaving, also of earlier notices, since they share
// the room at the targets.
void flow_core::plan_reclaims()
{
    std::vector<reclaim_source> sources;
    std::vector<reclaim_target> targets;
    for (const membership::endpoint& one : m_view->endpoints) {
        if (one.status == membership::endpoint_status::leaving)
            sources.push_back(source_of(one));
        else if (one.kind == state::service_kind::engine)
            targets.push_back(target_of(one));
    }
    std::vector<reclaim_stream> streams;
    for (const request_id& request : open_ids()) {
        request_entry* entry = find(request);
        const bool moves = entry->planned_at != absl::InfiniteFuture() || !entry->kv_target.empty();
        if (entry->live() && !moves && is_leaving(entry->live()->target.id))
            streams.push_back(stream_of(*entry));
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
        entry->planned = step;
        entry->planned_at = m_now + step.start;
        run_planned_step(*entry);
    }
}

// Starts the step once its time has come; the plan spreads the load of a wave over time.
void flow_core::run_planned_step(request_entry& entry)
{
    if (m_now < entry.planned_at)
        return;
    entry.planned_at = absl::InfiniteFuture();
    // Another attempt, begun since, is not concerned by the plan.
    if (!entry.live() || entry.live()->target.id != entry.planned.source)
        return;
    const membership::endpoint* target = find_live(entry.planned.target);
    if (entry.planned.action == reclaim_action::export_kv && target != nullptr) {
        entry.kv_target = target->id;
        m_commands.emplace_back(move_kv{.request = entry.request().id,
                                        .attempt = entry.live()->number,
                                        .source = entry.live()->target.listen,
                                        .target = target->id,
                                        .target_address = target->listen});
        return;
    }
    resume_elsewhere(entry, target);
}

reclaim_stream flow_core::stream_of(const request_entry& entry) const
{
    const attempt_record& live = *entry.live();
    const std::uint64_t so_far = entry.tokens().size();
    const std::uint64_t named = entry.request().max_tokens;
    const std::uint64_t expected =
        named == 0 ? usual_answer_tokens : std::max(named, so_far) - so_far;
    const std::uint64_t prompt = entry.prompt_tokens();
    const bool engine = live.target.kind == state::service_kind::engine;
    return {.request = entry.request().id,
            .source = live.target.id,
            .service = entry.request().service,
            .version = live.target.version,
            .prompt_tokens = prompt,
            .tokens_so_far = so_far,
            .expected_tokens_left = expected,
            // Before its first token there is no cache worth the transfer.
            .kv_bytes = so_far == 0 ? 0 : (prompt + so_far) * kv_bytes_per_token,
            .movable = engine && entry.request().idempotent()};
}

reclaim_source flow_core::source_of(const membership::endpoint& endpoint) const
{
    return {.id = endpoint.id,
            .region = endpoint.region,
            .zone = endpoint.zone,
            .time_left = endpoint.reclaim_at - m_now};
}

reclaim_target flow_core::target_of(const membership::endpoint& endpoint) const
{
    reclaim_target target{.id = endpoint.id,
                          .region = endpoint.region,
                          .zone = endpoint.zone,
                          .service = endpoint.service,
                          .version = endpoint.version,
                          .free_slots = unknown_free_slots,
                          .free_kv_bytes = unknown_free_kv_bytes};
    const auto found = m_loads.find(endpoint.id);
    if (found == m_loads.end())
        return target;
    const load_report& load = found->second;
    target.free_slots = std::max(load.slots - load.running - load.queued, 0);
    target.free_kv_bytes = std::max(load.kv_limit - load.kv_used, 0.0) * kv_bytes_per_token;
    return target;
}

const membership::endpoint* flow_core::find_live(const endpoint_id& id) const
{
    for (const membership::endpoint& one : m_view->endpoints)
        if (one.id == id && one.status == membership::endpoint_status::live)
            return &one;
    return nullptr;
}

void flow_core::take(const kv_moved& event)
{
    request_entry* entry = find(event.request);
    if (entry == nullptr || !entry->live() || entry->live()->number != event.attempt ||
        entry->kv_target != event.target)
        return;
    const membership::endpoint* target = find_live(event.target);
    if (event.handle.empty() || target == nullptr) {
        resume_elsewhere(*entry, target);
        return;
    }
    log_event(event_id::stream_migrated,
              {{"request", event.request.str()}, {"how", "kv"}, {"endpoint", event.target.str()}});
    stop_attempt(*entry);
    start_attempt_at(*entry, *target, event.handle);
}

// Without a target, routing chooses. With nowhere to go the stream stays and is looked at again.
void flow_core::resume_elsewhere(request_entry& entry, const membership::endpoint* target)
{
    entry.query().excluded.insert(entry.live()->target.id);
    entry.planned.action = reclaim_action::resume_tokens;
    membership::endpoint chosen;
    if (target == nullptr) {
        const auto choice = m_options.policy.choose(entry.query(), m_now);
        if (!is_ok(choice)) {
            entry.planned_at = m_now + replan_interval;
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
