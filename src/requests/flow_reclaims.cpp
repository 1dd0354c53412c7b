#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_policy.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::requests::detail {

void flow_core::take(const view_changed& event)
{
    std::vector<membership::endpoint> leaving;
    absl::flat_hash_set<endpoint_id> listed;
    for (const membership::endpoint& one : event.view->endpoints) {
        listed.insert(one.id);
        if (one.status == membership::endpoint_status::leaving && m_leaving.insert(one.id).second)
            leaving.push_back(one);
    }
    absl::erase_if(m_leaving, [&](const endpoint_id& id) { return !listed.contains(id); });
    absl::erase_if(m_loads, [&](const auto& load) { return !listed.contains(load.first); });
    m_view = event.view;
    m_limiter.on_view(event.view, m_now);
    m_options.policy.on_view(event.view, m_now);
    if (!leaving.empty() && is_enabled(mechanism::reclaim_migration))
        plan_leaving(leaving);
}

void flow_core::plan_leaving(const std::vector<membership::endpoint>& leaving)
{
    for (const request_id& request : open_ids()) {
        request_entry* entry = find(request);
        if (entry == nullptr || !entry->live() || !entry->request().idempotent() ||
            entry->live()->target.kind != state::service_kind::engine)
            continue;
        const auto is_target = [&](const auto& one) { return one.id == entry->live()->target.id; };
        if (std::any_of(leaving.begin(), leaving.end(), is_target))
            resume_elsewhere(*entry);
    }
}

void flow_core::take(const kv_moved& event)
{
    request_entry* entry = find(event.request);
    if (entry == nullptr || !entry->live() || entry->live()->number != event.attempt ||
        entry->kv_target != event.target)
        return;
    const membership::endpoint* target = nullptr;
    for (const membership::endpoint& one : m_view->endpoints)
        if (one.id == event.target && one.status == membership::endpoint_status::live)
            target = &one;
    if (event.handle.empty() || target == nullptr) {
        resume_elsewhere(*entry);
        return;
    }
    log_event(event_id::stream_migrated,
              {{"request", event.request.str()}, {"how", "kv"}, {"endpoint", event.target.str()}});
    stop_attempt(*entry);
    start_attempt_at(*entry, *target, event.handle);
}

void flow_core::resume_elsewhere(request_entry& entry)
{
    log_event(event_id::stream_migrated,
              {{"request", entry.request().id.str()}, {"how", "tokens"}});
    entry.query().excluded.insert(entry.live()->target.id);
    stop_attempt(entry);
    start_attempt(entry);
}

} // namespace chivedeal::requests::detail
