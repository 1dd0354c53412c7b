#include "chivedeal/forward/rollout_evaluator.hpp"

#include "chivedeal/forward/response_counts.hpp"

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

// A version that fails up to this many times as often as the stable ones isn't taken for worse.
// Otherwise chance would sum up to an excess with enough responses.
constexpr double tolerated_failure_ratio = 4.0 / 3;
// Fraction of the excess at which a version is rolled back that it must stay below to be proven and
// to be done.
constexpr double max_proven_excess_fraction = 0.5;
// The excess is rising if it is higher than once to twice this time before.
constexpr absl::Duration excess_sample_interval = absl::Seconds(2);

// Excess of the responses that no node could compare with others of the same interval. They are
// judged by the stable versions' failure rate on all nodes. Without responses of stable versions,
// nothing shows that the target version has more failures than is usual for the service.
double uncompared_excess(const version_outcomes& total)
{
    const response_counts stable{.good = total.other_good, .bad = total.other_bad};
    if (stable.total() == 0)
        return 0;
    const response_counts uncompared{.good = total.target_good - total.compared_good,
                                     .bad = total.target_bad - total.compared_bad};
    return static_cast<double>(uncompared.bad) - tolerated_failure_ratio * stable.failure_rate() *
                                                     static_cast<double>(uncompared.total());
}

} // namespace

double rollout_evaluator::excess_bad_responses(const version_outcomes& total)
{
    return static_cast<double>(total.compared_bad) -
           tolerated_failure_ratio * static_cast<double>(total.expected_bad_milli) / 1000 +
           uncompared_excess(total);
}

rollout_evaluator::rollout_evaluator(options settings, rollout_order order, absl::Time started_at)
    : m_options(settings), m_order(std::move(order)), m_started_at(started_at)
{}

void rollout_evaluator::on_outcomes(const version_outcomes& total, absl::Time now)
{
    if (m_state != rollout_state::running)
        return;
    record_answers(total, now);
    record_excess(excess_bad_responses(total), now);
    if (m_excess_increase >= m_options.max_excess_bad_responses && !m_is_target_stable) {
        m_state = rollout_state::rolled_back;
        return;
    }
    const double elapsed_fraction = absl::FDivDuration(now - m_started_at, m_order.duration);
    m_proven = m_proven || (elapsed_fraction >= traffic_move_fraction && !is_suspect() &&
                            total.target_good >= m_options.min_good_responses);
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

void rollout_evaluator::record_excess(double excess, absl::Time now)
{
    m_lowest_excess = std::min(m_lowest_excess, excess);
    m_excess_increase = excess - m_lowest_excess;
    if (now < m_next_sample)
        return;
    m_earlier_increase = std::exchange(m_last_increase, m_excess_increase);
    m_next_sample = now + excess_sample_interval;
}

bool rollout_evaluator::is_suspect() const
{
    return m_excess_increase >= m_options.max_excess_bad_responses * max_proven_excess_fraction &&
           !m_is_target_stable;
}

// The endpoints of the other versions stop when the roll-out is done, so the target version must be
// serving the traffic at that time, not only when it was proven.
void rollout_evaluator::complete(double elapsed_fraction)
{
    // Failures that have ended, such as those of an endpoint that crashed, don't hold it up.
    const bool is_rising = m_excess_increase > m_earlier_increase;
    if (!is_proven())
        m_state = rollout_state::rolled_back;
    else if (m_left->target && !is_target_silent() && !(is_suspect() && is_rising))
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
