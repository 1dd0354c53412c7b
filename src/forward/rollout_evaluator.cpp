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
// Longer than the delay with which outcomes of other nodes become known.
constexpr absl::Duration max_answer_gap = absl::Seconds(1);
// Evaluations are due several times a second. After a longer gap, endpoints may have been lost and
// requests may have failed without the evaluator having heard of it.
constexpr absl::Duration max_evaluation_gap = absl::Seconds(1);
// Further gaps within this time don't hold a roll-out up: a slow store makes all evaluations late.
constexpr absl::Duration min_time_between_gaps = absl::Seconds(5);
// Share of an unproven version of a service with few requests, until it has had the responses that it
// may have beyond its usual share.
constexpr double larger_unproven_share = 0.25;
// Fraction of these responses by which it must stay below the limit to get the larger share again.
constexpr double share_margin = 0.1;
// Time needed to measure the request rate of the service.
constexpr double min_rate_time_s = 0.5;
// Endpoints that restart may be missing from the list for a moment.
constexpr absl::Duration min_loss_time = absl::Seconds(1);

// A version that fails up to this many times as often as the stable ones isn't taken for worse.
// Otherwise chance would sum up to an excess with enough responses.
constexpr double tolerated_failure_ratio = 4.0 / 3;
// Fraction of the excess at which a version is rolled back that it must stay below to be proven and
// to be done.
constexpr double max_proven_excess_fraction = 0.5;

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
    m_excess.record(excess_bad_responses(total), now);
    record_left(now);
    record_evaluation(now);
    m_condemned = m_condemned || (m_excess.increase() >= m_options.max_excess_bad_responses &&
                                  !m_is_target_stable);
    if (m_condemned)
        return give_up(now, now);
    const double elapsed_fraction =
        m_is_status_known ? absl::FDivDuration(now - m_started_at, m_order.duration) : 0;
    m_proven = m_proven || (elapsed_fraction >= traffic_move_fraction && !is_suspect() &&
                            total.target_good >= m_options.min_good_responses);
    adapt_share(now);
    if (elapsed_fraction >= completion_fraction && m_left && now >= m_outdated_until)
        complete(elapsed_fraction, now);
}

void rollout_evaluator::record_answers(const version_outcomes& total, absl::Time now)
{
    // It isn't known when the responses of the first counts came.
    const version_outcomes earlier = m_total.value_or(version_outcomes{});
    const absl::Time answered_at = m_total ? now : m_started_at;
    if (total.target_good > earlier.target_good)
        m_target_answered_at = answered_at;
    if (total.other_good > earlier.other_good)
        m_others_answered_at = answered_at;
    m_total = total;
}

void rollout_evaluator::record_left(absl::Time now)
{
    if (!m_left || m_left->others)
        m_others_lost_at = absl::InfiniteFuture();
    else
        m_others_lost_at = std::min(m_others_lost_at, now);
}

void rollout_evaluator::record_evaluation(absl::Time now)
{
    if (now > m_evaluated_at + max_evaluation_gap && now > m_outdated_until + min_time_between_gaps)
        m_outdated_until = now + m_options.outcome_delay;
    m_evaluated_at = now;
}

void rollout_evaluator::adapt_share(absl::Time now)
{
    const version_outcomes& total = *m_total;
    const auto target = static_cast<double>(total.target_good + total.target_bad);
    const auto all = target + static_cast<double>(total.other_good + total.other_bad);
    const double elapsed_s = absl::ToDoubleSeconds(now - m_started_at);
    const double expected_responses = m_options.unproven_share * all /
                                      std::max(elapsed_s, min_rate_time_s) * traffic_move_fraction *
                                      absl::ToDoubleSeconds(m_order.duration);
    const double limit = m_options.unproven_share * all + m_options.extra_responses;
    // Responses under way may exceed the limit, so the larger share begins again only below it.
    const double margin = m_has_larger_share ? 0 : m_options.extra_responses * share_margin;
    m_has_larger_share = m_options.extra_responses > 0 && elapsed_s >= min_rate_time_s &&
                         !is_suspect() && total.target_good < m_options.min_good_responses &&
                         expected_responses < m_options.min_good_responses &&
                         target < limit - margin;
}

bool rollout_evaluator::is_target_silent() const
{
    return m_others_answered_at > m_target_answered_at + max_answer_gap;
}

void rollout_evaluator::give_up(absl::Time since, absl::Time now)
{
    m_given_up_at = std::min(m_given_up_at, since);
    if (can_go_back(now))
        m_state = rollout_state::rolled_back;
}

// While the target version isn't proven, the others get most requests. If only the target answers any
// from now on, the others' endpoints are lost, although their records may still be listed. A proven
// version gets all requests, so that the others' silence shows nothing.
bool rollout_evaluator::can_go_back(absl::Time now) const
{
    if (!m_left || !m_left->others)
        return false;
    const absl::Time shown_at = m_given_up_at + m_options.outcome_delay;
    return is_proven() || m_others_answered_at >= shown_at ||
           (now >= shown_at && m_target_answered_at <= m_given_up_at);
}

bool rollout_evaluator::is_suspect() const
{
    return m_excess.increase() >= m_options.max_excess_bad_responses * max_proven_excess_fraction &&
           !m_is_target_stable;
}

// The endpoints of the other versions stop when the roll-out is done, and those of the target when it
// is rolled back, so the version that stays must be serving the traffic at that time.
void rollout_evaluator::complete(double elapsed_fraction, absl::Time now)
{
    if (!m_left->others)
        return complete_without_others(now);
    const bool is_failing = is_suspect() && m_excess.is_rising();
    if (is_proven() && m_left->target && !is_target_silent() && !is_failing)
        m_state = rollout_state::done;
    else if (!is_proven() || (!m_left->target && elapsed_fraction >= 1))
        give_up(m_started_at + completion_fraction * m_order.duration - m_options.outcome_delay,
                now);
}

// There is nothing to go back to, so the target version needs no proof, only to serve.
void rollout_evaluator::complete_without_others(absl::Time now)
{
    if (m_left->target && m_total->target_good > 0 && now >= m_others_lost_at + min_loss_time)
        m_state = rollout_state::done;
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
    if (!m_condemned && is_proven())
        return 1;
    if (!m_condemned)
        return m_has_larger_share ? larger_unproven_share : m_options.unproven_share;
    // As long as the endpoints aren't known, another version may be left.
    return m_left ? m_options.unproven_share : 0;
}

} // namespace chivedeal::forward
