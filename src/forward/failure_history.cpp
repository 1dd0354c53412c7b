#include "chivedeal/forward/failure_history.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivedeal::forward {

namespace {

constexpr std::size_t max_intervals = 64;
// Shorter intervals are joined, as chance alone gives a few responses any failure rate.
constexpr std::int64_t min_responses = 20;
// Fraction of the intervals, those with the lowest failure rates, that are taken for usual.
constexpr double usual_fraction = 1.0 / 3;

// Most failures of `responses` responses that are usual beside the others: three standard deviations
// above the mean, and a few where failures are rare.
double max_usual_failures(const response_counts& others, std::int64_t responses)
{
    const double mean = others.failure_rate() * static_cast<double>(responses);
    return mean + 3 * std::sqrt(mean) + 3;
}

} // namespace

void failure_history::add(const response_counts& interval)
{
    if (m_intervals.empty() || m_intervals.back().total() >= min_responses)
        m_intervals.emplace_back();
    m_intervals.back().add(interval);
    if (m_intervals.size() > max_intervals)
        m_intervals.pop_front();
}

response_counts failure_history::usual() const
{
    std::vector<response_counts> by_rate(m_intervals.begin(), m_intervals.end());
    std::sort(by_rate.begin(), by_rate.end(),
              [](const response_counts& left, const response_counts& right) {
                  return left.failure_rate() < right.failure_rate();
              });
    const auto usual_count =
        static_cast<std::size_t>(std::ceil(usual_fraction * static_cast<double>(by_rate.size())));
    response_counts sum;
    for (std::size_t i = 0; i < by_rate.size(); ++i) {
        const response_counts& interval = by_rate[i];
        if (i >= usual_count &&
            static_cast<double>(interval.bad) > max_usual_failures(sum, interval.total()))
            break;
        sum.add(interval);
    }
    return sum;
}

} // namespace chivedeal::forward
