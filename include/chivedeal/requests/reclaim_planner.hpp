#ifndef CHIVEDEAL_REQUESTS_RECLAIM_PLANNER_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_PLANNER_HPP

#include "chivedeal/requests/reclaim_source.hpp"
#include "chivedeal/requests/reclaim_step.hpp"
#include "chivedeal/requests/reclaim_stream.hpp"
#include "chivedeal/requests/reclaim_target.hpp"

#include "absl/time/time.h"

#include <vector>

namespace chivedeal::requests {

/// Plans how the streams of leaving endpoints are completed.
///
/// A stream that ends in time stays. The others are moved in descending order of tokens at risk per
/// second of transfer: their KV caches are exported as long as bandwidth, time and target capacity
/// allow, and the remaining streams resume from the prompt and the tokens so far. All endpoints
/// that leave together share the capacity and rates of the targets.
///
///     for (const reclaim_step& step : reclaim_planner().plan(streams, sources, targets))
///         schedule(step);
class reclaim_planner
{
public:
    struct options
    {
        /// Time reserved before the reclaim for the switch to the target and for late notices.
        absl::Duration margin = absl::Seconds(2);
        /// Fraction of the remaining tokens by which a stream may exceed its expected length.
        double length_margin = 0.25;
        /// Fixed cost of an export: two calls to engines and the switch.
        absl::Duration export_overhead = absl::Milliseconds(50);
    };

    reclaim_planner();
    explicit reclaim_planner(options tunables);

    /// Returns one step for each stream whose source is in `sources`, ordered by start time.
    std::vector<reclaim_step> plan(const std::vector<reclaim_stream>& streams,
                                   const std::vector<reclaim_source>& sources,
                                   const std::vector<reclaim_target>& targets) const;

private:
    class plan_builder;

    options m_options;
};

} // namespace chivedeal::requests

#endif
