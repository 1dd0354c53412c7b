#include "chivedeal/forward/rollout_evaluator.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// Fraction of the roll-out's duration after which a proven version gets all traffic.
constexpr double traffic_move_fraction = 0.6;
// Fraction of the roll-out's duration after which it is completed and the endpoints of the old
// version may stop. Streams on the old version have until then to end.
constexpr double completion_fraction = 0.9;

// Bad responses of the target version that the failure rate of the other versions explains. Without
// responses of other versions, nothing shows that the target version has more than is usual for the
// service, and there may be no version to go back to.
double expected_bad_responses(const version_outcomes& total)
{
    const std::int64_t others = total.other_good + total.other_bad;
    if (others == 0)
        return static_cast<double>(total.target_bad);
    return static_cast<double>(total.other_bad) / static_cast<double>(others) *
           static_cast<double>(total.target_good + total.target_bad);
}

} // namespace

double rollout_evaluator::excess_bad_responses(const version_outcomes& total)
{
    return static_cast<double>(total.target_bad) - expected_bad_responses(total);
}

rollout_evaluator::rollout_evaluator(options settings, rollout_order order, absl::Time started_at)
    : m_options(settings), m_order(std::move(order)), m_started_at(started_at)
{}

void rollout_evaluator::on_outcomes(const version_outcomes& total, absl::Time now)
{
    if (m_state != rollout_state::running)
        return;
    const double excess_bad = excess_bad_responses(total);
    if (excess_bad >= m_options.max_excess_bad_responses) {
        m_state = rollout_state::rolled_back;
        return;
    }
    const double elapsed_fraction = absl::FDivDuration(now - m_started_at, m_order.duration);
    const bool is_shown_good = total.target_good >= m_options.min_good_responses &&
                               excess_bad < m_options.max_excess_bad_responses / 2.0;
    m_proven = m_proven || (elapsed_fraction >= traffic_move_fraction && is_shown_good);
    if (elapsed_fraction < completion_fraction)
        return;
    m_state = m_proven ? rollout_state::done : rollout_state::rolled_back;
}

double rollout_evaluator::share() const
{
    switch (m_state) {
    case rollout_state::done:
        return 1;
    case rollout_state::rolled_back:
        return 0;
    case rollout_state::running:
        break;
    }
    return m_proven ? 1 : m_options.unproven_share;
}

} // namespace chivedeal::forward
