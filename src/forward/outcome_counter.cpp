#include "chivedeal/forward/outcome_counter.hpp"

namespace chivedeal::forward {

void outcome_counter::start_counting(const rollout_order& order)
{
    const auto known = m_counts.find(order.service);
    if (order.rewritten && known != m_counts.end() && known->second.target == order.target) {
        known->second.order_offset = order.offset;
        return;
    }
    m_counts[order.service] = {
        .service = order.service, .target = order.target, .order_offset = order.offset};
    m_baselines[order.service].clear();
}

void outcome_counter::count(const service_id& service, const version_id& version, bool good)
{
    const auto watched = m_counts.find(service);
    if (watched == m_counts.end())
        return;
    version_outcomes& counts = watched->second;
    if (version == counts.target)
        ++(good ? counts.target_good : counts.target_bad);
    else
        ++(good ? counts.other_good : counts.other_bad);
}

void outcome_counter::count_response(const service_id& service, const version_id& version,
                                     const std::string& route, std::optional<double> pace,
                                     bool in_time, absl::Time now)
{
    const auto watched = m_counts.find(service);
    if (watched == m_counts.end())
        return;
    pace_baseline& baseline = m_baselines[service][route];
    const bool slow = pace && baseline.is_slow(*pace, now);
    if (pace && version != watched->second.target)
        baseline.add(*pace, now);
    count(service, version, in_time && !slow);
}

std::vector<version_outcomes> outcome_counter::snapshot() const
{
    std::vector<version_outcomes> counts;
    for (const auto& [service, outcomes] : m_counts)
        counts.push_back(outcomes);
    return counts;
}

} // namespace chivedeal::forward
