#include "chivedeal/forward/response_time_estimate.hpp"

namespace chivedeal::forward {

namespace {

// The factors of RFC 6298.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
constexpr double deviation_factor = 4;

} // namespace

void response_time_estimate::add(absl::Duration response_time)
{
    if (!m_has_value) {
        m_has_value = true;
        m_mean = response_time;
        m_deviation = response_time / 2;
        return;
    }
    const absl::Duration error = response_time - m_mean;
    m_deviation += (absl::AbsDuration(error) - m_deviation) * deviation_gain;
    m_mean += error * mean_gain;
}

absl::Duration response_time_estimate::upper_bound() const
{
    return m_has_value ? m_mean + m_deviation * deviation_factor : absl::InfiniteDuration();
}

} // namespace chivedeal::forward
