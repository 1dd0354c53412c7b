#ifndef CHIVEDEAL_CONTROL_NON_INFERIORITY_TEST_HPP
#define CHIVEDEAL_CONTROL_NON_INFERIORITY_TEST_HPP

#include "chivedeal/control/paired_batch.hpp"

#include <array>

namespace chivedeal::control {

/// Sequential test of the null hypothesis "the new version's hit rate is higher by at least
/// `margin`".
///
/// Bets against the hypothesis on each request of the new version, with the old version's hit rate
/// in the same batch as the reference. For a version that is worse by the margin, the probability
/// that `value()` ever reaches x is at most about 1/x. With the batch sizes of `move_evidence`, the
/// noise of the reference increases it by less than a fifth.
class non_inferiority_test
{
public:
    explicit non_inferiority_test(double margin) : m_margin(margin) {}

    void add(const paired_batch& batch);

    /// Returns the evidence that the new version is no worse; the initial value is 1.
    double value() const;

private:
    double m_margin;
    std::array<double, 4> m_log_wealth{};
};

} // namespace chivedeal::control

#endif
