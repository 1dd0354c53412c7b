#include "chivedeal/forward/clock_consensus.hpp"

#include <algorithm>
#include <vector>

namespace chivedeal::forward {

namespace {

// Clocks step by seconds; a beacon waits up to some hundred milliseconds on a busy node.
constexpr absl::Duration tolerance = absl::Milliseconds(900);
// Nodes that are heard directly are heard at least each second.
constexpr absl::Duration longest_age = absl::Seconds(2);

} // namespace

void clock_consensus::observe(const node_id& node, absl::Time wall, absl::Time now)
{
    m_observed[node] = {.offset = wall - now, .at = now};
}

void clock_consensus::forget(const node_id& node) { m_observed.erase(node); }

absl::Time clock_consensus::true_time(absl::Time own_wall, absl::Time now) const
{
    std::vector<absl::Duration> offsets{own_wall - now};
    for (const auto& [node, one] : m_observed)
        if (now - one.at <= longest_age)
            offsets.push_back(one.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    const absl::Duration apart = absl::AbsDuration(own_wall - now - *middle);
    return apart <= tolerance ? own_wall : now + *middle;
}

} // namespace chivedeal::forward
