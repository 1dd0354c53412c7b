#include "chivedeal/endpoints/latency_model.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::endpoints {

namespace {

// Standard deviations of the prior: factors of the reading time and of the delay with load, and the
// constant time in units of 100 ms.
constexpr latency_model::vector prior_deviations{0.7, 0.7, 0.3};
// An observation further from the expected value than this many standard deviations is moved to
// that distance, so that one outlier has little effect.
constexpr double max_counted_deviations = 3;
// This many consecutive observations that deviate that much in the same direction are a change of
// the endpoint and not outliers. The filter then forgets how certain it was.
constexpr double surprise_deviations = 2;
constexpr int min_surprises = 3;

double dot(const latency_model::vector& a, const latency_model::vector& b)
{
    return a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
}

} // namespace

latency_model::matrix latency_model::prior_covariance()
{
    matrix covariance{};
    for (std::size_t i = 0; i < covariance.size(); ++i)
        covariance[i][i] = prior_deviations[i] * prior_deviations[i];
    return covariance;
}

void latency_model::advance(absl::Time now)
{
    if (!has_observations()) {
        m_updated_at = now;
        return;
    }
    const absl::Duration age = std::max(absl::ZeroDuration(), now - m_updated_at);
    m_updated_at = std::max(m_updated_at, now);
    const double kept = std::exp(-absl::FDivDuration(age, m_options.memory));
    const matrix prior = prior_covariance();
    for (std::size_t i = 0; i < m_deviation.size(); ++i) {
        m_deviation[i] *= kept;
        for (std::size_t j = 0; j < m_deviation.size(); ++j)
            m_covariance[i][j] = kept * kept * m_covariance[i][j] + (1 - kept * kept) * prior[i][j];
    }
}

void latency_model::add(const vector& features, double excess, double noise, absl::Time now)
{
    advance(now);
    const double innovation = excess - dot(features, m_deviation);
    const auto project = [this, &features] {
        return vector{dot(m_covariance[0], features), dot(m_covariance[1], features),
                      dot(m_covariance[2], features)};
    };
    vector projected = project();
    double variance = dot(features, projected) + noise * noise;
    const double deviations = innovation / std::sqrt(variance);
    if (std::abs(deviations) < surprise_deviations)
        m_surprises = 0;
    else if (deviations > 0)
        m_surprises = std::max(m_surprises, 0) + 1;
    else
        m_surprises = std::min(m_surprises, 0) - 1;
    if (std::abs(m_surprises) >= min_surprises) {
        m_surprises = 0;
        m_covariance = prior_covariance();
        projected = project();
        variance = dot(features, projected) + noise * noise;
    }
    const double limit = max_counted_deviations * std::sqrt(variance);
    const double counted = std::clamp(innovation, -limit, limit);
    for (std::size_t i = 0; i < m_deviation.size(); ++i) {
        m_deviation[i] += projected[i] / variance * counted;
        for (std::size_t j = 0; j < m_deviation.size(); ++j)
            m_covariance[i][j] -= projected[i] * projected[j] / variance;
    }
}

latency_model::vector latency_model::deviation_at(absl::Time now) const
{
    if (!has_observations())
        return {};
    const double age = std::max(0.0, absl::FDivDuration(now - m_updated_at, m_options.memory));
    // Cheaper than the exponential function, which `advance` uses, and close to it while the
    // observations matter.
    const double kept = 1 / (1 + age * (1 + age / 2));
    return {m_deviation[0] * kept, m_deviation[1] * kept, m_deviation[2] * kept};
}

} // namespace chivedeal::endpoints
