#ifndef CHIVEDEAL_CONTROL_NON_INFERIORITY_TEST_HPP
#define CHIVEDEAL_CONTROL_NON_INFERIORITY_TEST_HPP

#include "chivedeal/control/paired_batch.hpp"

#include <array>

namespace chivedeal::control {

/// Sequential test of "the new version has at least `margin` more hits", as a share of requests.
///
/// Bets against that on each new request, with the old version's share in the same batch as the
/// reference. A version that is worse by the margin is taken as proven at any look with a
/// probability of about 1/`value` at most; the noise of the reference adds under a fifth to it at
/// the batch sizes of `move_evidence`.
class non_inferiority_test
{
public:
    explicit non_inferiority_test(double margin) : m_margin(margin) {}

    void add(const paired_batch& batch);

    /// Evidence that the version is good, 1 at first.
    double value() const;

private:
    double m_margin;
    std::array<double, 4> m_log_wealth{};
};

} // namespace chivedeal::control

#endif
