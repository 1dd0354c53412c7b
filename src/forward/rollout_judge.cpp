#include "chivedeal/forward/rollout_judge.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// Parts of the roll-out's time: traffic moves after the first, which leaves streams on the old
// version time to end before the second, when the old endpoints may stop.
constexpr double move_after = 0.6;
constexpr double done_after = 0.9;

double bad_share(std::int64_t good, std::int64_t bad)
{
    return good + bad == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(good + bad);
}

} // namespace

rollout_judge::rollout_judge(options settings, rollout_order order, absl::Time started)
    : m_options(settings), m_order(std::move(order)), m_started(started)
{}

void rollout_judge::on_outcomes(const version_outcomes& total, absl::Time now)
{
    if (m_state != rollout_state::running)
        return;
    const std::int64_t answers = total.target_good + total.target_bad;
    const double expected =
        bad_share(total.other_good, total.other_bad) * static_cast<double>(answers);
    if (static_cast<double>(total.target_bad) - expected >= m_options.most_bad) {
        m_state = rollout_state::rolled_back;
        return;
    }
    const double elapsed = absl::FDivDuration(now - m_started, m_order.duration);
    const bool shown_good =
        total.target_good >= m_options.enough_good &&
        static_cast<double>(total.target_bad) - expected < m_options.most_bad / 2.0;
    m_proven = m_proven || (elapsed >= move_after && shown_good);
    if (elapsed < done_after)
        return;
    m_state = m_proven ? rollout_state::done : rollout_state::rolled_back;
}

void rollout_judge::on_state(rollout_state state)
{
    if (m_state == rollout_state::running)
        m_state = state;
}

double rollout_judge::share() const
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
