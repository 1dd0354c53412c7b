#include "chivedeal/forward/clock_estimator.hpp"

#include <algorithm>
#include <vector>

namespace chivedeal::forward {

namespace {

// Clock steps are of the order of seconds; a beacon is delayed by up to a few hundred milliseconds
// on a busy node.
constexpr absl::Duration max_deviation = absl::Milliseconds(900);
// Nodes that send beacons to each other directly do so at least once a second.
constexpr absl::Duration max_observation_age = absl::Seconds(2);

} // namespace

void clock_estimator::observe(const node_id& node, absl::Time wall, absl::Time now)
{
    m_observations[node] = {.offset = wall - now, .observed_at = now};
}

void clock_estimator::forget(const node_id& node) { m_observations.erase(node); }

absl::Time clock_estimator::true_time(absl::Time own_wall, absl::Time now) const
{
    std::vector<absl::Duration> offsets{own_wall - now};
    for (const auto& [node, observed] : m_observations)
        if (now - observed.observed_at <= max_observation_age)
            offsets.push_back(observed.offset);
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    const absl::Duration deviation = absl::AbsDuration(own_wall - now - *median);
    return deviation <= max_deviation ? own_wall : now + *median;
}

} // namespace chivedeal::forward
