#include "chivedeal/control/harm_test.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace chivedeal::control {

namespace {

// Odds ratios of a hit, new version to old version, from a slight regression to a complete failure.
constexpr std::array<double, harm_test::bet_count> alternative_odds{1.3, 2, 4, 10, 40};
// Odds ratios up to this one count as no worse; otherwise millions of requests would make a
// negligible difference significant.
constexpr double tolerated_odds = 1.05;
// Requests of the new version after which the bets are restarted.
constexpr std::uint64_t requests_per_epoch = 100;

// Returns log(sum over x of weights[x] * odds^x); subtracting the largest term first avoids
// overflow.
double log_weighted_sum(const std::vector<double>& log_weights, double log_odds)
{
    double highest = log_weights.front();
    for (std::size_t x = 0; x < log_weights.size(); ++x)
        highest = std::max(highest, log_weights[x] + static_cast<double>(x) * log_odds);
    double sum = 0;
    for (std::size_t x = 0; x < log_weights.size(); ++x)
        sum += std::exp(log_weights[x] + static_cast<double>(x) * log_odds - highest);
    return highest + std::log(sum);
}

} // namespace

harm_test::log_ratio_array harm_test::log_likelihood_ratios(const paired_batch& batch)
{
    log_ratio_array out{};
    const std::uint64_t hits = batch.new_hits + batch.old_hits;
    const std::uint64_t min_new_hits = hits > batch.old_requests ? hits - batch.old_requests : 0;
    const std::uint64_t max_new_hits = std::min(hits, batch.new_requests);
    if (min_new_hits >= max_new_hits)
        return out;
    // Hypergeometric weight of each possible number of hits of the new version, up to a common
    // factor, computed from the ratio of successive weights.
    std::vector<double> log_weights{0};
    for (std::uint64_t x = min_new_hits; x < max_new_hits; ++x)
        log_weights.push_back(
            log_weights.back() + std::log(static_cast<double>(batch.new_requests - x)) +
            std::log(static_cast<double>(hits - x)) - std::log(static_cast<double>(x + 1)) -
            std::log(static_cast<double>(batch.old_requests - (hits - x) + 1)));
    const auto observed = static_cast<double>(batch.new_hits - min_new_hits);
    const double log_tolerated = log_weighted_sum(log_weights, std::log(tolerated_odds));
    for (std::size_t i = 0; i < bet_count; ++i)
        out[i] = observed * std::log(alternative_odds[i] / tolerated_odds) + log_tolerated -
                 log_weighted_sum(log_weights, std::log(alternative_odds[i]));
    return out;
}

void harm_test::multiply(const log_ratio_array& log_ratios, std::uint64_t new_requests)
{
    if (m_epoch == 0 || m_epoch_requests >= requests_per_epoch) {
        // The stakes 1/(j(j+1)) of all epochs j sum to 1, the initial wealth.
        m_epoch += 1;
        m_epoch_requests = 0;
        const double stake = 1 / (m_epoch * (m_epoch + 1));
        m_reserve -= stake;
        for (double& wealth : m_wealth)
            wealth += stake / bet_count;
    }
    m_epoch_requests += new_requests;
    for (std::size_t i = 0; i < bet_count; ++i)
        m_wealth[i] *= std::exp(log_ratios[i]);
}

double harm_test::value() const
{
    return std::max(0.0, m_reserve) + std::accumulate(m_wealth.begin(), m_wealth.end(), 0.0);
}

} // namespace chivedeal::control
