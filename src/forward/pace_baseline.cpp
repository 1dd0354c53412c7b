#include "chivedeal/forward/pace_baseline.hpp"

#include <algorithm>

namespace chivedeal::forward {

void pace_baseline::add(double pace, absl::Time now)
{
    m_updated_at = now;
    ++m_responses;
    // The first responses are averaged evenly.
    const double weight = std::max(m_options.smoothing_factor, 1.0 / m_responses);
    m_average += weight * (pace - m_average);
}

bool pace_baseline::is_slow(double pace, absl::Time now) const
{
    return m_responses >= m_options.min_responses && now - m_updated_at <= m_options.max_age &&
           pace > m_average * m_options.slow_factor;
}

} // namespace chivedeal::forward
