#ifndef CHIVEDEAL_FORWARD_CONTROL_LOG_HPP
#define CHIVEDEAL_FORWARD_CONTROL_LOG_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/era/plan_archive.hpp"
#include "chivedeal/forward/record_batch.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// State read from the lease topic: grants of the control lease, and the usage reports that lease
/// holders record before they send them. If a window has several reports, the first one counts
/// regardless of its author, so that two holders never send different counts.
class control_log
{
public:
    void apply(const record_batch& batch);

    /// The store was restored and is in this epoch. Grants and offsets are read again; planned
    /// reports are kept.
    void begin_epoch(std::uint64_t epoch);
    /// A peer announced a planned report.
    void add_planned(const era::planned_report& plan) { m_known_reports.add(plan); }

    std::optional<node_id> holder() const { return m_holder; }
    /// Position of the newest grant, which is the holder's fencing token.
    std::uint64_t holder_token() const { return m_holder_token; }
    /// Offset at which the next read starts and the next append is expected.
    std::uint64_t end_offset() const { return m_end_offset; }

    /// Whether the lease was granted in the current epoch.
    bool has_grant_of_epoch() const { return m_has_grant_of_epoch; }

    const usage_report* planned_report(std::int64_t window) const;
    /// Whether the window's report is in the store.
    bool is_stored(std::int64_t window) const;
    /// Planned reports of earlier epochs that the store lost.
    std::vector<era::planned_report> lost_reports() const
    {
        return m_known_reports.missing_from(m_stored_reports);
    }
    std::vector<era::planned_report> known_reports() const { return m_known_reports.all(); }

    /// `epoch` is left out if it is 0.
    static std::string encode_grant(const node_id& holder, std::uint64_t epoch = 0);
    static std::string encode_report(const usage_report& report, std::uint64_t epoch = 0);

private:
    std::optional<node_id> m_holder;
    std::uint64_t m_holder_token = 0;
    std::uint64_t m_end_offset = 0;
    std::uint64_t m_epoch = 0;
    bool m_has_grant_of_epoch = false;
    // Reports read from the topic in the current epoch.
    era::plan_archive m_stored_reports;
    // All reports that were ever read or announced.
    era::plan_archive m_known_reports;
};

} // namespace chivedeal::forward

#endif
