#include "chivedeal/forward/usage_ledger.hpp"

namespace chivedeal::forward {

namespace {

// A window is reported within the next two windows.
constexpr std::size_t max_retained_windows = 4;

} // namespace

std::int64_t usage_ledger::window_of(absl::Time wall) const
{
    return absl::ToUnixMillis(wall) / absl::ToInt64Milliseconds(m_window);
}

absl::Time usage_ledger::end_of(std::int64_t window) const
{
    return absl::UnixEpoch() + m_window * static_cast<double>(window + 1);
}

void usage_ledger::count_start(const workspace_id& workspace, absl::Time wall)
{
    ++m_counts[window_of(wall)][workspace];
    while (m_counts.size() > max_retained_windows)
        m_counts.erase(m_counts.begin());
}

std::vector<usage_report> usage_ledger::recent_reports() const
{
    std::vector<usage_report> reports;
    for (const auto& [window, counts] : m_counts)
        reports.push_back({.window = window, .counts = counts});
    return reports;
}

} // namespace chivedeal::forward
