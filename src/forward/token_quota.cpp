#include "chivedeal/forward/token_quota.hpp"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// A node may spend this multiple of its equal part between two exchanges: callers pick nodes at
// random, so that traffic is uneven over a fraction of a second.
constexpr double uneven_factor = 2;

} // namespace

void token_quota::set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now)
{
    std::map<workspace_id, bucket> next;
    for (const workspace_spec& one : workspaces) {
        if (one.rate <= 0)
            continue;
        const auto known = m_buckets.find(one.name);
        bucket changed{.level = one.burst, .refilled = now};
        if (known != m_buckets.end()) {
            changed = known->second;
            refill(changed, now);
        }
        changed.rate = one.rate;
        changed.burst = one.burst;
        changed.level = std::min(changed.level, changed.burst);
        next.emplace(one.name, changed);
    }
    m_buckets.swap(next);
}

bool token_quota::try_admit(const workspace_id& workspace, double cost, absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    bucket& one = found->second;
    refill(one, now);
    if (one.level < cost)
        return false;
    const double part = (one.level + one.spent_since_exchange) * uneven_factor / m_nodes;
    // A single request may exceed the part, or large requests would never pass.
    if (m_nodes > 1 && one.spent_since_exchange > 0 && one.spent_since_exchange + cost > part)
        return false;
    one.level -= cost;
    one.spent_since_exchange += cost;
    m_admitted[workspace] += cost;
    return true;
}

void token_quota::give_back(const workspace_id& workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.level = std::min(found->second.level + cost, found->second.burst);
    m_admitted[workspace] -= cost;
}

void token_quota::on_peers_admitted(const workspace_id& workspace, double cost, absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    refill(found->second, now);
    found->second.level = std::min(found->second.level - cost, found->second.burst);
}

void token_quota::on_exchange()
{
    for (auto& [workspace, one] : m_buckets)
        one.spent_since_exchange = 0;
}

absl::Duration token_quota::time_until(const workspace_id& workspace, double cost) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.level >= cost)
        return absl::ZeroDuration();
    return absl::Seconds((cost - found->second.level) / found->second.rate);
}

void token_quota::refill(bucket& one, absl::Time now)
{
    if (now <= one.refilled)
        return;
    one.level =
        std::min(one.burst, one.level + one.rate * absl::ToDoubleSeconds(now - one.refilled));
    one.refilled = now;
}

} // namespace chivedeal::forward
