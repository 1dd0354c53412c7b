#ifndef CHIVEDEAL_FORWARD_FAILURE_HISTORY_HPP
#define CHIVEDEAL_FORWARD_FAILURE_HISTORY_HPP

#include "chivedeal/forward/response_counts.hpp"

#include <deque>

namespace chivedeal::forward {

/// How often responses usually fail, from counts of short intervals. Intervals in which failures were
/// much more frequent than in the others, as during an incident, are left out.
class failure_history
{
public:
    void add(const response_counts& interval);
    /// Sum of the usual intervals.
    response_counts usual() const;

private:
    std::deque<response_counts> m_intervals;
};

} // namespace chivedeal::forward

#endif
