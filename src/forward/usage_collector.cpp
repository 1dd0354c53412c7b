#include "chivedeal/forward/usage_collector.hpp"

namespace chivedeal::forward {

namespace {

constexpr std::size_t kept_windows = 8;

} // namespace

void usage_collector::on_counts(const node_id& node, std::int64_t started_us,
                                const std::vector<usage_report>& reports, absl::Time now)
{
    m_heard[node] = now;
    for (auto one = m_heard.begin(); one != m_heard.end();)
        one = now - one->second > m_options.window * kept_windows ? m_heard.erase(one) : ++one;
    for (const usage_report& report : reports)
        m_counts[report.window][{node, started_us}] = report;
    while (m_counts.size() > kept_windows)
        m_counts.erase(m_counts.begin());
}

bool usage_collector::is_complete(absl::Time end, absl::Time now) const
{
    if (now < end + m_options.delay)
        return false;
    if (now >= end + m_options.patience)
        return true;
    for (const auto& [node, heard] : m_heard)
        if (heard >= end - m_options.window && heard < end + m_options.settling)
            return false;
    return true;
}

usage_report usage_collector::total(std::int64_t window) const
{
    usage_report sum{.window = window};
    const auto found = m_counts.find(window);
    if (found == m_counts.end())
        return sum;
    for (const auto& [counter, report] : found->second)
        for (const auto& [workspace, count] : report.counts)
            sum.counts[workspace] += count;
    return sum;
}

} // namespace chivedeal::forward
