#include "chivedeal/forward/token_quota.hpp"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// A node may spend this multiple of its equal share between two exchanges. Callers pick nodes at
// random, so traffic is uneven within a fraction of a second.
constexpr double traffic_imbalance_factor = 2;

} // namespace

void token_quota::set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now)
{
    std::map<workspace_id, token_bucket> next;
    for (const workspace_spec& spec : workspaces) {
        if (spec.rate <= 0)
            continue;
        const auto existing = m_buckets.find(spec.name);
        token_bucket bucket{.level = spec.burst, .refilled_at = now};
        if (existing != m_buckets.end()) {
            bucket = existing->second;
            refill(bucket, now);
        }
        bucket.rate = spec.rate;
        bucket.burst = spec.burst;
        bucket.level = std::min(bucket.level, bucket.burst);
        next.emplace(spec.name, bucket);
    }
    m_buckets.swap(next);
}

bool token_quota::try_admit(const workspace_id& workspace, double cost, absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    token_bucket& bucket = found->second;
    refill(bucket, now);
    if (bucket.level < cost)
        return false;
    const double fair_share =
        (bucket.level + bucket.spent_since_exchange) * traffic_imbalance_factor / m_nodes;
    // A single request may exceed the share; otherwise large requests would never be admitted.
    if (m_nodes > 1 && bucket.spent_since_exchange > 0 &&
        bucket.spent_since_exchange + cost > fair_share)
        return false;
    bucket.level -= cost;
    bucket.spent_since_exchange += cost;
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
    for (auto& [workspace, bucket] : m_buckets)
        bucket.spent_since_exchange = 0;
}

absl::Duration token_quota::time_until_available(const workspace_id& workspace, double cost) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.level >= cost)
        return absl::ZeroDuration();
    return absl::Seconds((cost - found->second.level) / found->second.rate);
}

void token_quota::refill(token_bucket& bucket, absl::Time now)
{
    if (now <= bucket.refilled_at)
        return;
    bucket.level = std::min(
        bucket.burst, bucket.level + bucket.rate * absl::ToDoubleSeconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
}

} // namespace chivedeal::forward
