#ifndef CHIVEDEAL_CONTROL_HARM_TEST_HPP
#define CHIVEDEAL_CONTROL_HARM_TEST_HPP

#include "chivedeal/control/paired_batch.hpp"

#include <array>
#include <cstdint>

namespace chivedeal::control {

/// Sequential test of the null hypothesis "the new version is no worse than the old one".
///
/// Given the total number of hits in a batch, their split between two equally good versions is
/// hypergeometric, whatever the hit rate is and however it drifts. The likelihood ratio of each
/// higher odds ratio against the null hypothesis is therefore a fair bet. The test value is a
/// mixture of these bets, restarted every epoch with a decreasing stake so that a long healthy
/// period does not outweigh a fault that starts late. It is a non-negative supermartingale with a
/// mean of at most 1: for a good version, the probability that it ever exceeds 1/a is at most a,
/// however often it is evaluated.
class harm_test
{
public:
    static constexpr std::size_t bet_count = 5;
    using log_ratio_array = std::array<double, bet_count>;

    /// Returns the natural logarithms of the likelihood ratios of one batch, one for each bet. The
    /// ratios of a batch may be applied to several tests.
    static log_ratio_array log_likelihood_ratios(const paired_batch& batch);

    /// Multiplies the wealth of each bet by its likelihood ratio for a batch with `new_requests`
    /// requests of the new version.
    void multiply(const log_ratio_array& log_ratios, std::uint64_t new_requests);

    /// Returns the evidence of harm; the initial value is 1.
    double value() const;

private:
    std::array<double, bet_count> m_wealth{};
    // Part of the initial wealth of 1 that later epochs will bet.
    double m_reserve = 1;
    double m_epoch = 0;
    std::uint64_t m_epoch_requests = 0;
};

} // namespace chivedeal::control

#endif
