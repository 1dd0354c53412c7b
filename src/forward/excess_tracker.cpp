#include "chivedeal/forward/excess_tracker.hpp"

#include <utility>

namespace chivedeal::forward {

namespace {

// The excess is compared with that of once to twice this time before.
constexpr absl::Duration sample_interval = absl::Seconds(2);

} // namespace

void excess_tracker::record(double excess, absl::Time now)
{
    m_lowest = std::min(m_lowest, excess);
    m_increase = excess - m_lowest;
    if (now < m_next_sample)
        return;
    m_earlier_increase = std::exchange(m_last_increase, m_increase);
    m_next_sample = now + sample_interval;
}

} // namespace chivedeal::forward
