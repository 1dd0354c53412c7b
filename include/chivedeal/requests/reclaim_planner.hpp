#ifndef CHIVEDEAL_REQUESTS_RECLAIM_PLANNER_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_PLANNER_HPP

#include "chivedeal/requests/reclaim_source.hpp"
#include "chivedeal/requests/reclaim_step.hpp"
#include "chivedeal/requests/reclaim_stream.hpp"
#include "chivedeal/requests/reclaim_target.hpp"

#include "absl/time/time.h"

#include <vector>

namespace chivedeal::requests {

/// Plans how the streams of leaving endpoints reach their end.
///
/// A stream that ends in time stays. Of the others those with most tokens at risk for each second
/// of transfer go first: their KV cache is exported while link, time and room last, and the rest
/// resume from prompt and tokens so far. All sources of a wave share the targets' room and rates.
///
///     for (const reclaim_step& step : reclaim_planner().plan(streams, sources, targets))
///         schedule(step);
class reclaim_planner
{
public:
    struct options
    {
        /// Kept free before the reclaim, for the switch to the target and late notices.
        absl::Duration margin = absl::Seconds(2);
        /// Part of the tokens left by which a stream may be longer than expected.
        double length_margin = 0.25;
        /// Fixed cost of an export: two calls to engines and the switch.
        absl::Duration export_overhead = absl::Milliseconds(50);
    };

    reclaim_planner();
    explicit reclaim_planner(options tunables);

    /// Returns one step for each stream whose source is given, ordered by start.
    std::vector<reclaim_step> plan(const std::vector<reclaim_stream>& streams,
                                   const std::vector<reclaim_source>& sources,
                                   const std::vector<reclaim_target>& targets) const;

private:
    class wave;

    options m_options;
};

} // namespace chivedeal::requests

#endif
