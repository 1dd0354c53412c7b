#include "chivedeal/forward/token_quota.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

namespace {

// Below this fraction of the burst a bucket counts as nearly empty. A lower one leaves too little
// for what peers admit unheard; with a higher one, uneven traffic within the limit is refused.
constexpr double nearly_empty_fraction = 0.2;
// A node may spend these multiples of its equal share: of the bucket between two exchanges, and of
// the rate while the bucket is nearly empty. Callers pick nodes at random, so traffic is uneven, and
// some nodes leave part of their share.
constexpr double max_bucket_share_factor = 2;
constexpr double rate_share_factor = 1.5;
// With many nodes, the share of the bucket is smaller than a request, and two requests that reach a
// node together would be refused although the bucket is full. A node may always spend this fraction
// of the burst while the bucket isn't nearly empty.
constexpr double min_share_of_burst = 0.1;
// A node that had no requests may spend the share of this time at once.
constexpr absl::Duration max_credit_time = absl::Seconds(4);
// Time constant of the average of what peers admit. Several reports arrive in this time.
constexpr absl::Duration peer_rate_time = absl::Milliseconds(500);
// How long a node with empty buckets takes over the levels of other nodes. They reply to a new node
// at once.
constexpr absl::Duration level_transfer_time = absl::Seconds(2);

// Weight that the average of what peers admit keeps after `elapsed`.
double kept_weight(absl::Duration elapsed)
{
    return std::exp(-absl::FDivDuration(elapsed, peer_rate_time));
}

} // namespace

void token_quota::set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now)
{
    const bool is_first = m_started_at == absl::InfiniteFuture();
    if (is_first)
        m_started_at = now;
    std::map<workspace_id, token_bucket> next;
    for (const workspace_spec& spec : workspaces) {
        if (spec.rate <= 0)
            continue;
        const auto existing = m_buckets.find(spec.name);
        token_bucket bucket{.level = is_first ? first_level(spec) : spec.burst, .refilled_at = now};
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

double token_quota::first_level(const workspace_spec& spec) const
{
    if (!m_options.starts_empty)
        return spec.burst;
    const auto heard = m_early_levels.find(spec.name);
    return heard == m_early_levels.end() ? 0 : heard->second;
}

bool token_quota::try_admit(const workspace_id& workspace, double cost, double sample,
                            absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    token_bucket& bucket = found->second;
    refill(bucket, now);
    if (bucket.level < cost)
        return false;
    if (m_nodes > 1 && !is_within_share(bucket, cost, sample, now))
        return false;
    bucket.level -= cost;
    bucket.spent_since_exchange += cost;
    bucket.credit = std::max(bucket.credit - cost, -cost);
    m_admitted[workspace] += cost;
    return true;
}

bool token_quota::is_within_share(const token_bucket& bucket, double cost, double sample,
                                  absl::Time now) const
{
    if (bucket.level - unreported(bucket, now) < bucket.burst * nearly_empty_fraction)
        return sample * cost < bucket.credit;
    const double share =
        (bucket.level + bucket.spent_since_exchange) * max_bucket_share_factor / m_nodes;
    return bucket.spent_since_exchange <= std::max(share, bucket.burst * min_share_of_burst);
}

void token_quota::give_back(const workspace_id& workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.level = std::min(found->second.level + cost, found->second.burst);
    found->second.credit += cost;
    m_admitted[workspace] -= cost;
}

void token_quota::on_peers_admitted(const workspace_id& workspace, double cost, absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    token_bucket& bucket = found->second;
    refill(bucket, now);
    bucket.level = std::min(bucket.level - cost, bucket.burst);
    bucket.peer_rate = bucket.peer_rate * kept_weight(now - bucket.peer_rate_at) +
                       cost / absl::ToDoubleSeconds(peer_rate_time);
    bucket.peer_rate_at = now;
}

void token_quota::on_exchange()
{
    for (auto& [workspace, bucket] : m_buckets)
        bucket.spent_since_exchange = 0;
}

void token_quota::on_peer_levels(const std::map<workspace_id, double>& levels, absl::Time now)
{
    if (!m_options.starts_empty || now - m_started_at > level_transfer_time)
        return;
    const bool knows_workspaces = m_started_at != absl::InfiniteFuture();
    for (const auto& [workspace, level] : levels) {
        if (!knows_workspaces) {
            double& early = m_early_levels.emplace(workspace, level).first->second;
            early = std::max(early, level);
            continue;
        }
        const auto found = m_buckets.find(workspace);
        if (found == m_buckets.end())
            continue;
        token_bucket& bucket = found->second;
        refill(bucket, now);
        // Nodes that have just started themselves report less than those that know of more.
        bucket.level = std::min(std::max(bucket.level, level), bucket.burst);
    }
}

std::map<workspace_id, double> token_quota::levels(absl::Time now) const
{
    std::map<workspace_id, double> levels;
    for (const auto& [workspace, bucket] : m_buckets) {
        token_bucket current = bucket;
        refill(current, now);
        levels[workspace] = current.level;
    }
    return levels;
}

absl::Duration token_quota::time_until_available(const workspace_id& workspace, double cost) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.level >= cost)
        return absl::ZeroDuration();
    return absl::Seconds((cost - found->second.level) / found->second.rate);
}

void token_quota::refill(token_bucket& bucket, absl::Time now) const
{
    if (now <= bucket.refilled_at)
        return;
    const double earned = bucket.rate * absl::ToDoubleSeconds(now - bucket.refilled_at);
    bucket.level = std::min(bucket.burst, bucket.level + earned);
    const double share = rate_share_factor / m_nodes;
    bucket.credit = std::min(bucket.credit + earned * share,
                             bucket.rate * absl::ToDoubleSeconds(max_credit_time) * share);
    bucket.refilled_at = now;
}

// The bucket has been refilled up to `now`, while the peers' amounts are as of `m_report_delay`
// ago. A bucket that is full has lost as much of the refill as it already holds.
double token_quota::unreported(const token_bucket& bucket, absl::Time now) const
{
    const double delay_s = absl::ToDoubleSeconds(m_report_delay);
    const double refill_lost = std::max(0.0, bucket.rate * delay_s - (bucket.burst - bucket.level));
    const double peer_rate = bucket.peer_rate * kept_weight(now - bucket.peer_rate_at);
    return std::max(0.0, peer_rate * delay_s - refill_lost);
}

} // namespace chivedeal::forward
