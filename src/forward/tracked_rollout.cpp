#include "chivedeal/forward/tracked_rollout.hpp"

#include <utility>

namespace chivedeal::forward {

tracked_rollout::tracked_rollout(rollout_evaluator::options settings, rollout_order order,
                                 absl::Time now)
    : m_evaluator(settings, std::move(order), now)
{}

void tracked_rollout::on_outcomes(const node_id& node, const version_outcomes& counts)
{
    if (counts.order_offset == order().offset)
        m_outcomes[node] = counts;
}

void tracked_rollout::on_status_read(const std::optional<rollout_status>& stored, absl::Time now)
{
    m_is_status_read = true;
    m_stored = stored;
    if (stored)
        on_decided(stored->state, now);
}

void tracked_rollout::on_status_written(const rollout_status& written, absl::Time now)
{
    on_status_read(written, now);
}

void tracked_rollout::on_decided(rollout_state final_state, absl::Time now)
{
    if (m_decided || final_state == rollout_state::running)
        return;
    m_decided = final_state;
    m_decided_at = now;
}

void tracked_rollout::on_rewritten(std::uint64_t offset)
{
    m_evaluator.set_order_offset(offset);
    for (auto& [node, counts] : m_outcomes)
        counts.order_offset = offset;
}

void tracked_rollout::on_restored()
{
    m_stored.reset();
    m_is_carried = true;
}

void tracked_rollout::evaluate(absl::Time now)
{
    if (m_decided || !m_is_status_read || m_evaluator.state() != rollout_state::running)
        return;
    version_outcomes total;
    for (const auto& [node, counts] : m_outcomes) {
        total.target_good += counts.target_good;
        total.target_bad += counts.target_bad;
        total.other_good += counts.other_good;
        total.other_bad += counts.other_bad;
    }
    m_evaluator.on_outcomes(total, now);
    if (m_evaluator.state() != rollout_state::running)
        m_evaluated_at = now;
}

double tracked_rollout::share() const
{
    if (!m_decided)
        return m_evaluator.share();
    return *m_decided == rollout_state::done ? 1 : 0;
}

rollout_status tracked_rollout::status() const
{
    return {.service = order().service,
            .target = order().target,
            .state = state(),
            .order_offset = order().offset};
}

bool tracked_rollout::needs_write() const { return !m_stored || m_stored->state != state(); }

} // namespace chivedeal::forward
