#include "chivedeal/forward/tracked_rollout.hpp"

#include "chivedeal/era/position.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// If all processes end at once, the evidence of this time at most is lost. With many processes the
// record is large, and is written less often.
constexpr absl::Duration min_checkpoint_interval = absl::Seconds(2);
constexpr absl::Duration checkpoint_interval_per_process = absl::Milliseconds(35);
// Further excess of bad responses that makes a checkpoint due early. A quarter of that at which a
// version is rolled back, so that repeated restarts don't let it exceed its limit.
constexpr double max_unstored_excess = 3;
constexpr absl::Duration early_checkpoint_interval = absl::Milliseconds(500);

double excess(const outcome_ledger& outcomes)
{
    return rollout_evaluator::excess_bad_responses(outcomes.total());
}

} // namespace

tracked_rollout::tracked_rollout(rollout_evaluator::options settings, rollout_order order,
                                 absl::Time now)
    : m_evaluator(settings, std::move(order), now), m_learned_at(now)
{}

void tracked_rollout::on_outcomes(const std::string& process, const version_outcomes& counts)
{
    if (counts.order_offset == order().offset)
        m_outcomes.add(process, counts);
}

void tracked_rollout::on_status_read(const std::optional<rollout_status>& stored, absl::Time now)
{
    m_is_status_read = true;
    m_stored = stored;
    if (!stored)
        return;
    m_outcomes.merge(stored->outcomes);
    m_evaluator.on_lowest_excess(stored->lowest_excess);
    if (stored->started_at)
        m_started_at = std::min(*stored->started_at, m_started_at.value_or(*stored->started_at));
    if (!stored->stable.empty())
        set_stable(stored->stable);
    if (stored->proven)
        m_evaluator.on_proven();
    on_decided(stored->state, now);
}

void tracked_rollout::set_stable(std::set<version_id> versions)
{
    m_stable = std::move(versions);
    m_evaluator.set_target_stable(m_stable.count(order().target) > 0);
}

// A version that is done stays so for any later order. Positions of different epochs can't be
// compared, as an order is written again at another one when the store was restored.
bool tracked_rollout::is_own_status(const rollout_status& stored) const
{
    return stored.service == order().service && stored.target == order().target &&
           (stored.state == rollout_state::done || !stored.order_offset ||
            *stored.order_offset == order().offset ||
            era::epoch_of(*stored.order_offset) != era::epoch_of(order().offset));
}

void tracked_rollout::on_status_written(const rollout_status& written, absl::Time now)
{
    on_status_read(written, now);
    m_written_at = now;
}

void tracked_rollout::on_decided(rollout_state final_state, absl::Time now)
{
    if (m_decided || final_state == rollout_state::running)
        return;
    m_decided = final_state;
    m_decided_at = now;
}

void tracked_rollout::on_rewritten(std::uint64_t offset) { m_evaluator.set_order_offset(offset); }

void tracked_rollout::on_restored()
{
    m_stored.reset();
    m_is_carried = true;
}

void tracked_rollout::evaluate(const std::optional<endpoints_left>& left, absl::Time now,
                               absl::Duration true_time_offset)
{
    if (m_decided || m_evaluator.state() != rollout_state::running)
        return;
    m_evaluator.set_endpoints_left(left);
    // Computed again each time, since the offset of a process that has just started may be wrong
    // until it has heard of its peers.
    if (m_started_at)
        m_evaluator.set_started_at(std::min(m_learned_at, *m_started_at - true_time_offset));
    m_evaluator.set_status_known(m_is_status_read);
    m_evaluator.on_outcomes(m_outcomes.total(), now);
    if (m_evaluator.state() != rollout_state::running)
        m_evaluated_at = now;
}

double tracked_rollout::share() const
{
    if (!m_decided)
        return m_evaluator.share();
    return *m_decided == rollout_state::done ? 1 : 0;
}

rollout_status tracked_rollout::status(absl::Duration true_time_offset) const
{
    rollout_status current{.service = order().service,
                           .target = order().target,
                           .state = state(),
                           .order_offset = order().offset,
                           .stable = m_stable};
    if (current.state != rollout_state::running)
        return current;
    current.started_at = m_started_at.value_or(m_learned_at + true_time_offset);
    current.proven = m_evaluator.is_proven();
    current.lowest_excess = m_evaluator.excess().lowest();
    current.outcomes = m_outcomes;
    return current;
}

bool tracked_rollout::needs_write(absl::Time now) const
{
    if (!m_stored || m_stored->state != state())
        return true;
    if (state() != rollout_state::running)
        return false;
    if (m_evaluator.is_proven() != m_stored->proven || m_stable != m_stored->stable)
        return true;
    const absl::Duration interval = std::max(
        min_checkpoint_interval, checkpoint_interval_per_process *
                                     static_cast<std::int64_t>(m_outcomes.by_process().size()));
    if (now >= m_written_at + interval)
        return m_outcomes != m_stored->outcomes;
    return now >= m_written_at + early_checkpoint_interval &&
           excess(m_outcomes) >= excess(m_stored->outcomes) + max_unstored_excess;
}

} // namespace chivedeal::forward
