#ifndef CHIVEDEAL_FORWARD_USAGE_LEDGER_HPP
#define CHIVEDEAL_FORWARD_USAGE_LEDGER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chivedeal::forward {

/// Counts the requests that began to run, by window of true time.
class usage_ledger
{
public:
    explicit usage_ledger(absl::Duration window) : m_window(window) {}

    /// Window in which `wall` lies.
    std::int64_t window_of(absl::Time wall) const;

    /// End of a window.
    absl::Time end_of(std::int64_t window) const;

    void on_started(const workspace_id& workspace, absl::Time wall);

    /// Counts of the newest windows, the current one included; older ones are forgotten.
    std::vector<usage_report> recent() const;

private:
    absl::Duration m_window;
    std::map<std::int64_t, std::map<workspace_id, std::int64_t>> m_counts;
};

} // namespace chivedeal::forward

#endif
