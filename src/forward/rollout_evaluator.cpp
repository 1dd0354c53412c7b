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
// A side that has had no good response for this long while the other one had some doesn't answer.
// Longer than the delay with which nodes learn of each other's outcomes.
constexpr absl::Duration max_answer_gap = absl::Seconds(1);

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
    record_answers(total, now);
    const double excess_bad = excess_bad_responses(total);
    if (excess_bad >= m_options.max_excess_bad_responses && !m_is_target_stable) {
        m_state = rollout_state::rolled_back;
        return;
    }
    const double elapsed_fraction = absl::FDivDuration(now - m_started_at, m_order.duration);
    const bool is_shown_good = total.target_good >= m_options.min_good_responses &&
                               excess_bad < m_options.max_excess_bad_responses / 2.0;
    m_proven = m_proven || (elapsed_fraction >= traffic_move_fraction && is_shown_good);
    if (elapsed_fraction >= completion_fraction && m_left)
        complete(elapsed_fraction);
}

void rollout_evaluator::record_answers(const version_outcomes& total, absl::Time now)
{
    if (total.target_good > m_total.target_good)
        m_target_answered_at = now;
    if (total.other_good > m_total.other_good)
        m_others_answered_at = now;
    m_total = total;
}

bool rollout_evaluator::is_target_silent() const
{
    return m_others_answered_at > m_target_answered_at + max_answer_gap;
}

// The endpoints of the other versions stop when the roll-out is done, so the target version must be
// serving the traffic at that time, not only when it was proven.
void rollout_evaluator::complete(double elapsed_fraction)
{
    if (!is_proven())
        m_state = rollout_state::rolled_back;
    else if (m_left->target && !is_target_silent())
        m_state = rollout_state::done;
    else if (!m_left->target && elapsed_fraction >= 1)
        m_state = rollout_state::rolled_back;
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
    return is_proven() ? 1 : m_options.unproven_share;
}

} // namespace chivedeal::forward
