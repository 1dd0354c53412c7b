#include "chivedeal/forward/usage_collector.hpp"

namespace chivedeal::forward {

namespace {

constexpr std::size_t max_retained_windows = 8;

} // namespace

void usage_collector::on_counts(const node_id& node, std::int64_t started_us,
                                const std::vector<usage_report>& reports, absl::Time now)
{
    m_last_heard[node] = now;
    for (auto entry = m_last_heard.begin(); entry != m_last_heard.end();)
        entry = now - entry->second > m_options.window * max_retained_windows
                    ? m_last_heard.erase(entry)
                    : ++entry;
    for (const usage_report& report : reports)
        m_counts[report.window][{node, started_us}] = report;
    while (m_counts.size() > max_retained_windows)
        m_counts.erase(m_counts.begin());
}

bool usage_collector::is_complete(absl::Time end, absl::Time now) const
{
    if (now < end + m_options.report_delay)
        return false;
    if (now >= end + m_options.max_wait)
        return true;
    for (const auto& [node, heard] : m_last_heard)
        if (heard >= end - m_options.window && heard < end + m_options.settling_time)
            return false;
    return true;
}

usage_report usage_collector::total(std::int64_t window) const
{
    usage_report sum{.window = window};
    const auto window_counts = m_counts.find(window);
    if (window_counts == m_counts.end())
        return sum;
    for (const auto& [process, report] : window_counts->second)
        for (const auto& [workspace, count] : report.counts)
            sum.counts[workspace] += count;
    return sum;
}

} // namespace chivedeal::forward
