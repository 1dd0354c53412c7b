#include "chivedeal/forward/usage_ledger.hpp"

namespace chivedeal::forward {

std::int64_t usage_ledger::window_of(absl::Time wall) const
{
    return absl::ToUnixMillis(wall) / absl::ToInt64Milliseconds(m_window);
}

absl::Time usage_ledger::end_of(std::int64_t window) const
{
    return absl::UnixEpoch() + m_window * static_cast<double>(window + 1);
}

void usage_ledger::on_started(const workspace_id& workspace, absl::Time wall)
{
    ++m_counts[window_of(wall)][workspace];
}

std::vector<usage_report> usage_ledger::take_before(std::int64_t window)
{
    std::vector<usage_report> taken;
    while (!m_counts.empty() && m_counts.begin()->first < window) {
        taken.push_back({.window = m_counts.begin()->first,
                         .counts = std::move(m_counts.begin()->second)});
        m_counts.erase(m_counts.begin());
    }
    return taken;
}

} // namespace chivedeal::forward
