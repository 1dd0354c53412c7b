#ifndef CHIVEDEAL_CONTROL_HARM_TEST_HPP
#define CHIVEDEAL_CONTROL_HARM_TEST_HPP

#include "chivedeal/control/paired_batch.hpp"

#include <array>
#include <cstdint>

namespace chivedeal::control {

/// Sequential test of "the new version is no worse than the old one".
///
/// Given how many hits a batch has in all, their split between the versions has a hypergeometric
/// distribution when both are equally good, whatever the rate of hits is and however it drifts. A
/// likelihood ratio against several higher odds is therefore a fair bet, and the mixture of bets,
/// begun anew with falling stakes so that a late fault is not outweighed by good times, stays a
/// non-negative supermartingale of mean one at most: it exceeds 1/a at any look, for a good
/// version, with a probability of at most a.
class harm_test
{
public:
    static constexpr std::size_t bet_count = 5;
    using log_ratios = std::array<double, bet_count>;

    /// Likelihood ratios of one batch, natural logarithms. Batches of one stratum may be
    /// multiplied into several tests.
    static log_ratios ratios(const paired_batch& batch);

    void multiply(const log_ratios& ratios, std::uint64_t new_requests);

    /// Evidence of harm, 1 at first.
    double value() const;

private:
    std::array<double, bet_count> m_wealth{};
    // Part of the stake that is not yet bet.
    double m_reserve = 1;
    double m_epoch = 0;
    std::uint64_t m_epoch_requests = 0;
};

} // namespace chivedeal::control

#endif
