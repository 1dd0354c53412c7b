#include "chivedeal/control/non_inferiority_test.hpp"

#include <cmath>

namespace chivedeal::control {

namespace {

// Fractions of the wealth bet on each request. The best fraction decreases as the hit rate rises.
constexpr std::array<double, 4> stakes{0.2, 0.4, 0.6, 0.95};

} // namespace

void non_inferiority_test::add(const paired_batch& batch)
{
    if (batch.old_requests == 0)
        return;
    const double reference_rate =
        static_cast<double>(batch.old_hits) / static_cast<double>(batch.old_requests);
    const auto hits = static_cast<double>(batch.new_hits);
    const auto non_hits = static_cast<double>(batch.new_requests) - hits;
    for (std::size_t i = 0; i < stakes.size(); ++i)
        m_log_wealth[i] += hits * std::log(1 + stakes[i] * (m_margin + reference_rate - 1)) +
                           non_hits * std::log(1 + stakes[i] * (m_margin + reference_rate));
}

double non_inferiority_test::value() const
{
    double sum = 0;
    for (const double wealth : m_log_wealth)
        sum += std::exp(wealth);
    return sum / static_cast<double>(m_log_wealth.size());
}

} // namespace chivedeal::control
