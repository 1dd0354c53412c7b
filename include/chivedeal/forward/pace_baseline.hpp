#ifndef CHIVEDEAL_FORWARD_PACE_BASELINE_HPP
#define CHIVEDEAL_FORWARD_PACE_BASELINE_HPP

#include "absl/time/time.h"

namespace chivedeal::forward {

/// The usual pace of a route's responses, with which those of a new version are compared. A pace is
/// a time in any unit: of a whole response, or of a byte of a stream.
class pace_baseline
{
public:
    struct options
    {
        /// A response is slow if it takes longer than the average by this factor.
        double slow_factor = 2;
        /// Responses needed before any is judged.
        int min_responses = 20;
        /// Weight of a response in the moving average.
        double smoothing_factor = 0.05;
        /// Without a newer response the average no longer shows the current load.
        absl::Duration max_age = absl::Seconds(3);
    };

    pace_baseline() : pace_baseline(options{}) {}
    explicit pace_baseline(options settings) : m_options(settings) {}

    void add(double pace, absl::Time now);
    bool is_slow(double pace, absl::Time now) const;

private:
    options m_options;
    int m_responses = 0;
    double m_average = 0;
    absl::Time m_updated_at = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
