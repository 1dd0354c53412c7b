#include "chivedeal/admission/demand_by_priority.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chivedeal::admission {

namespace {

// Time constant of the average. A node of 74 gets a large request of a small workspace every few
// seconds; a shorter average would be dominated by the last request.
constexpr absl::Duration averaging_time = absl::Seconds(2);
// Time constant of the average that shows a rise, and how many requests it has to contain: two
// that arrive together by chance are no rise.
constexpr absl::Duration rise_time = absl::Milliseconds(400);
constexpr double min_requests_of_rise = 6;
// Time constant of the proportions of the priorities, which change more slowly than the total.
constexpr absl::Duration proportion_time = absl::Seconds(15);
// Fraction of its proportional share that each priority keeps. No route may be served less than a
// quarter as often as all requests; the rest is a margin for uneven nodes.
constexpr double guaranteed_share = 0.4;

double kept_weight(absl::Duration elapsed, absl::Duration time_constant)
{
    return std::exp(-absl::FDivDuration(elapsed, time_constant));
}

} // namespace

void demand_by_priority::on_request(int priority, double cost, absl::Time now)
{
    if (now > m_updated_at) {
        m_total *= kept_weight(now - m_updated_at, averaging_time);
        m_recent_total *= kept_weight(now - m_updated_at, rise_time);
        m_recent_requests *= kept_weight(now - m_updated_at, rise_time);
        for (auto& [each, rate] : m_rates)
            rate *= kept_weight(now - m_updated_at, proportion_time);
        m_updated_at = now;
    }
    m_total += rate_of(cost);
    m_recent_total += cost / absl::ToDoubleSeconds(rise_time);
    m_recent_requests += 1;
    m_rates[priority] += cost / absl::ToDoubleSeconds(proportion_time);
}

double demand_by_priority::rate_of(double cost)
{
    return cost / absl::ToDoubleSeconds(averaging_time);
}

double demand_by_priority::total(absl::Time now) const
{
    if (m_rates.empty())
        return 0;
    const absl::Duration elapsed = std::max(absl::ZeroDuration(), now - m_updated_at);
    const double average = m_total * kept_weight(elapsed, averaging_time);
    const double recent_weight = kept_weight(elapsed, rise_time);
    return m_recent_requests * recent_weight < min_requests_of_rise
               ? average
               : std::max(average, m_recent_total * recent_weight);
}

int demand_by_priority::more_urgent(int priority) const
{
    return static_cast<int>(std::distance(m_rates.begin(), m_rates.lower_bound(priority)));
}

double demand_by_priority::fraction_for(int priority, double fraction) const
{
    if (fraction >= 1)
        return 1;
    double sum = 0;
    for (const auto& [each, rate] : m_rates)
        sum += rate;
    const double guaranteed = guaranteed_share * fraction;
    double remaining = sum * (fraction - guaranteed);
    for (const auto& [each, rate] : m_rates) {
        const double granted = std::min(remaining, rate * (1 - guaranteed));
        if (each == priority)
            return rate > 0 ? guaranteed + granted / rate : fraction;
        remaining -= granted;
    }
    return fraction;
}

} // namespace chivedeal::admission
