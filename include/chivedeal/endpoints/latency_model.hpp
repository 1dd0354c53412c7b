#ifndef CHIVEDEAL_ENDPOINTS_LATENCY_MODEL_HPP
#define CHIVEDEAL_ENDPOINTS_LATENCY_MODEL_HPP

#include "absl/time/time.h"

#include <array>

namespace chivedeal::endpoints {

/// Linear model of the time to the first byte, corrected by a Kalman filter.
///
/// The state is the deviation of three weights from their prior values: of the time to read
/// prompts, of the delay with load, and of a constant time. Without observations it returns to 0
/// and its uncertainty to that of the prior, so an observation counts only as far as it is recent.
class latency_model
{
public:
    /// Values in the order reading, load, constant.
    using vector = std::array<double, 3>;

    struct options
    {
        /// Time after which the weight of an observation has fallen to 1/e.
        absl::Duration memory = absl::Seconds(10);

        friend bool operator==(const options&, const options&) = default;
    };

    latency_model() = default;
    explicit latency_model(options settings) : m_options(settings) {}

    /// Adds an observation: the time of a request with the given `features` exceeded the time
    /// predicted by the prior weights by `excess`. `noise` is the standard deviation of `excess`.
    void add(const vector& features, double excess, double noise, absl::Time now);

    /// Deviation of the weights from the prior.
    vector deviation_at(absl::Time now) const;

    bool has_observations() const { return m_updated_at != absl::InfinitePast(); }

private:
    using matrix = std::array<vector, 3>;

    static matrix prior_covariance();
    void advance(absl::Time now);

    options m_options;
    vector m_deviation{};
    matrix m_covariance = prior_covariance();
    absl::Time m_updated_at = absl::InfinitePast();
    // Consecutive observations far above (positive) or far below (negative) the expected value.
    int m_surprises = 0;
};

} // namespace chivedeal::endpoints

#endif
