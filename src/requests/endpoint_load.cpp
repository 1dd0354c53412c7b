#include "chivedeal/requests/endpoint_load.hpp"

#include "chivedeal/requests/load_report.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::requests::detail {

namespace {

// Weight of the latest sample in the moving average, which converges after about ten samples.
constexpr double cache_use_weight = 0.2;

} // namespace

endpoint_load::endpoint_load(const options& tunables, absl::Time first_seen)
    : m_options(&tunables), m_first_seen(first_seen)
{}

void endpoint_load::on_report(const load_report& report, absl::Time now)
{
    const absl::Time reported_at = now - std::max(absl::ZeroDuration(), report.age);
    if (reported_at < m_reported_at)
        return;
    m_reported_at = reported_at;
    m_reported_attempts = std::max(0, report.running) + std::max(0, report.queued);
    m_slots = std::max(1, report.slots);
    m_tokens_per_second = std::max(0.0, report.tokens_per_second);
    while (!m_recent_changes.empty() && m_recent_changes.front().first <= reported_at) {
        m_net_change -= m_recent_changes.front().second;
        m_recent_changes.pop_front();
    }
}

void endpoint_load::on_started(double tokens, absl::Time now)
{
    ++m_outstanding;
    m_prefill_tokens += tokens;
    add_change(1, now);
}

void endpoint_load::on_prefilled(double tokens)
{
    m_prefill_tokens = std::max(0.0, m_prefill_tokens - tokens);
}

void endpoint_load::on_ended(bool failed, absl::Time now)
{
    m_outstanding = std::max(0, m_outstanding - 1);
    add_change(-1, now);
    if (!failed)
        return;
    m_failure_score = failures(now) + 1;
    m_last_failure_at = now;
}

void endpoint_load::on_cache_use(double share)
{
    m_cache_reliability += cache_use_weight * (std::clamp(share, 0.0, 1.0) - m_cache_reliability);
}

double endpoint_load::estimated_attempts(absl::Time now) const
{
    const absl::Duration age = now - m_reported_at;
    if (age > m_options->stale_after)
        return m_outstanding;
    const double other_nodes_attempts =
        std::max(0, m_reported_attempts + m_net_change - m_outstanding);
    if (2 * age <= m_options->stale_after)
        return m_outstanding + other_nodes_attempts;
    return m_outstanding +
           other_nodes_attempts * 2 * (1 - absl::FDivDuration(age, m_options->stale_after));
}

double endpoint_load::failures(absl::Time now) const
{
    if (m_failure_score == 0)
        return 0;
    return m_failure_score *
           std::exp2(-absl::FDivDuration(now - m_last_failure_at, m_options->failure_half_life));
}

void endpoint_load::add_change(int change, absl::Time now)
{
    m_recent_changes.emplace_back(now, change);
    m_net_change += change;
    // Without reports nothing else removes entries. Entries older than `stale_after` are not
    // needed, since a report of that age is ignored.
    while (now - m_recent_changes.front().first > m_options->stale_after) {
        m_net_change -= m_recent_changes.front().second;
        m_recent_changes.pop_front();
    }
}

} // namespace chivedeal::requests::detail
