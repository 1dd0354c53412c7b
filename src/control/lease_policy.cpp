#include "chivedeal/control/lease_policy.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/record.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chivedeal::control {

namespace {

// Fraction of the term by which the holder expires early. A holder whose clock runs slow by less
// than this fraction still stops before a challenger takes over.
constexpr double clock_drift_margin = 0.01;
// Renewing after a third of the term leaves time for two more attempts before the lease expires.
constexpr int renewals_per_term = 3;
// Number of times per term that a grant is appended again while it has not been read back.
constexpr int retries_per_term = 6;
// Number of different values of XXH3_64bits, 2^64.
constexpr double hash_value_count = 18446744073709551616.0;

} // namespace

class lease_policy::handler
{
public:
    handler(lease_policy& policy, absl::Time now) : m_policy(policy), m_now(now) {}

    void operator()(const state::applied_record& applied);
    void operator()(const state_update& event);
    void operator()(const lease_tick& /*event*/);
    void operator()(const append_refused& event) { m_policy.m_pending.erase(event.change); }
    void operator()(const release_leases& /*event*/);

    std::vector<state::record> take_records() { return std::move(m_records); }

private:
    lease_policy& m_policy;
    absl::Time m_now;
    std::vector<state::record> m_records;
};

void lease_policy::handler::operator()(const state::applied_record& applied)
{
    const auto* grant = std::get_if<state::lease_grant>(&applied.entry.body);
    if (grant == nullptr)
        return;
    if (applied.effect.code == result_code::ok)
        m_policy.on_grant(*grant, applied.entry.change, applied.offset, m_now);
    m_policy.m_pending.erase(applied.entry.change);
}

void lease_policy::handler::operator()(const state_update& event)
{
    m_policy.m_has_state = true;
    for (const auto& [scope, newest] : event.state->leases) {
        const auto entry = m_policy.m_scopes.find(scope);
        if (entry == m_policy.m_scopes.end())
            continue;
        entry->second.fence = newest->fence;
        if (newest->renewal <= entry->second.renewal_offset)
            continue;
        // The grant was loaded from a snapshot, which does not say when it was sent. Wait a full
        // term, even if this node is the holder.
        m_policy.drop_lease(scope, "replaced_by_snapshot");
        entry->second.holder = newest->holder;
        entry->second.term = newest->term;
        entry->second.renewal_offset = newest->renewal;
        entry->second.observed_at = m_now;
    }
}

void lease_policy::handler::operator()(const lease_tick& /*event*/)
{
    for (const held_lease& lease : std::vector<held_lease>(m_policy.m_held.leases))
        if (m_now >= lease.expires_at)
            m_policy.drop_lease(lease.scope, "expired");
    if (m_policy.m_released || !m_policy.m_has_state)
        return;
    for (auto& [scope, current] : m_policy.m_scopes)
        if (m_policy.needs_grant(scope, current, m_now))
            m_records.push_back(m_policy.make_grant(scope, m_policy.m_options.term, m_now));
}

void lease_policy::handler::operator()(const release_leases& /*event*/)
{
    m_policy.m_released = true;
    for (const held_lease& lease : std::vector<held_lease>(m_policy.m_held.leases)) {
        m_policy.drop_lease(lease.scope, "released");
        // With a term of zero, a challenger does not wait for the lease to expire.
        m_records.push_back(m_policy.make_grant(lease.scope, absl::ZeroDuration(), m_now));
    }
    m_policy.m_pending.clear();
}

lease_policy::lease_policy(options settings) : m_options(std::move(settings))
{
    for (const std::string& scope : m_options.scopes)
        m_scopes[scope] = {};
}

std::vector<state::record> lease_policy::handle(const lease_event& event, absl::Time now)
{
    m_started_at = std::min(m_started_at, now);
    handler visitor(*this, now);
    std::visit(visitor, event);
    return visitor.take_records();
}

bool lease_policy::holds(const std::string& scope, absl::Time now) const
{
    return m_held.find(scope, now).has_value();
}

// Returns a delay of up to a third of the term, derived from the node and the scope. It keeps most
// challengers from appending for the same takeover and distributes the scopes over the nodes.
absl::Duration lease_policy::takeover_delay(const std::string& scope) const
{
    const std::string key = absl::StrCat(m_options.self.str(), "/", scope);
    const auto hash = static_cast<double>(XXH3_64bits(key.data(), key.size()));
    return m_options.term / renewals_per_term * (hash / hash_value_count);
}

state::record lease_policy::make_grant(const std::string& scope, absl::Duration term,
                                       absl::Time now)
{
    scope_state& current = m_scopes[scope];
    current.next_append_at = now + m_options.term / retries_per_term;
    const change_id change(
        absl::StrCat(m_options.change_prefix, "-lease-", std::to_string(m_next_change++)));
    std::erase_if(m_pending,
                  [&](const auto& entry) { return entry.second.sent_at + m_options.term < now; });
    m_pending[change] = {.scope = scope, .sent_at = now};
    return {.change = change,
            .body = state::lease_grant{.scope = scope,
                                       .holder = m_options.self,
                                       .term = term,
                                       .previous_offset = current.renewal_offset}};
}

void lease_policy::on_grant(const state::lease_grant& grant, const change_id& change,
                            std::uint64_t offset, absl::Time now)
{
    const auto entry = m_scopes.find(grant.scope);
    if (entry == m_scopes.end() || offset <= entry->second.renewal_offset)
        return;
    scope_state& current = entry->second;
    if (current.holder != grant.holder || current.fence == 0)
        current.fence = offset;
    current.holder = grant.holder;
    current.term = grant.term;
    current.renewal_offset = offset;
    current.observed_at = now;
    const auto pending = m_pending.find(change);
    if (pending == m_pending.end()) {
        drop_lease(grant.scope, "taken_over");
        return;
    }
    if (m_released)
        return;
    const absl::Time expires = pending->second.sent_at + grant.term * (1 - clock_drift_margin);
    current.next_append_at = pending->second.sent_at + m_options.term / renewals_per_term;
    for (held_lease& lease : m_held.leases) {
        if (lease.scope != grant.scope)
            continue;
        lease.expires_at = std::max(lease.expires_at, expires);
        return;
    }
    if (now >= expires)
        return;
    m_held.leases.push_back({.scope = grant.scope,
                             .fencing_token = current.fence,
                             .first_grant_offset = offset,
                             .acquired_at = now,
                             .expires_at = expires});
    log_event(event_id::lease_acquired,
              {{"scope", grant.scope}, {"fence", std::to_string(current.fence)}});
}

void lease_policy::drop_lease(const std::string& scope, const std::string& reason)
{
    const auto removed =
        std::erase_if(m_held.leases, [&](const held_lease& lease) { return lease.scope == scope; });
    if (removed > 0)
        log_event(event_id::lease_lost, {{"scope", scope}, {"reason", reason}});
}

bool lease_policy::needs_grant(const std::string& scope, const scope_state& current,
                               absl::Time now) const
{
    if (now < current.next_append_at)
        return false;
    for (const held_lease& lease : m_held.leases)
        if (lease.scope == scope)
            return true;
    if (current.renewal_offset == 0)
        return now >= m_started_at + takeover_delay(scope);
    return now >= current.observed_at + current.term + takeover_delay(scope);
}

} // namespace chivedeal::control
