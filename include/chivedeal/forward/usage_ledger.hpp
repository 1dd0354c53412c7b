#ifndef CHIVEDEAL_FORWARD_USAGE_LEDGER_HPP
#define CHIVEDEAL_FORWARD_USAGE_LEDGER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chivedeal::forward {

/// Counts the requests that started to run, by workspace and window of true time.
class usage_ledger
{
public:
    explicit usage_ledger(absl::Duration window) : m_window(window) {}

    std::int64_t window_of(absl::Time wall) const;

    absl::Time end_of(std::int64_t window) const;

    void count_start(const workspace_id& workspace, absl::Time wall);

    /// Counts of the newest windows including the current one; older windows are dropped.
    std::vector<usage_report> recent_reports() const;

private:
    absl::Duration m_window;
    std::map<std::int64_t, std::map<workspace_id, std::int64_t>> m_counts;
};

} // namespace chivedeal::forward

#endif
