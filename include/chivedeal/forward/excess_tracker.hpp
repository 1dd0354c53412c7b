#ifndef CHIVEDEAL_FORWARD_EXCESS_TRACKER_HPP
#define CHIVEDEAL_FORWARD_EXCESS_TRACKER_HPP

#include "absl/time/time.h"

#include <algorithm>

namespace chivedeal::forward {

/// Follows the excess of a version's bad responses (a CUSUM test): only its increase over its lowest
/// value counts against the version, so that a time in which it failed less often than expected
/// excuses no later failures.
class excess_tracker
{
public:
    void record(double excess, absl::Time now);
    /// Lowest excess that another process has seen.
    void on_lowest(double excess) { m_lowest = std::min(m_lowest, excess); }

    double lowest() const { return m_lowest; }
    double increase() const { return m_increase; }
    /// Whether the excess is higher than some seconds before. Failures that have ended, such as those
    /// of an endpoint that crashed, don't make it rise.
    bool is_rising() const { return m_increase > m_earlier_increase; }

private:
    double m_lowest = 0;
    // Increase over the lowest value: now, and at the last two sample times.
    double m_increase = 0;
    double m_last_increase = 0;
    double m_earlier_increase = 0;
    absl::Time m_next_sample = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
