#ifndef CHIVEDEAL_FORWARD_USAGE_COLLECTOR_HPP
#define CHIVEDEAL_FORWARD_USAGE_COLLECTOR_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// Sums the request counts of all processes and decides when the counts of a window are complete.
class usage_collector
{
public:
    struct options
    {
        absl::Duration window;
        /// A window is reported no sooner than this after its end. By then all reachable nodes have
        /// sent their counts, including those that send a beacon only once a second.
        absl::Duration report_delay = absl::Milliseconds(1800);
        /// A node that was heard during the window but not since its end is waited for until this
        /// long after the end.
        absl::Duration max_wait = absl::Seconds(5);
        /// Counts sent this soon after the end may lack the window's last requests.
        absl::Duration settling_time = absl::Milliseconds(200);
    };

    explicit usage_collector(options settings) : m_options(settings) {}

    /// `started_us` identifies the process of a node, since a restarted process counts from zero.
    void on_counts(const node_id& node, std::int64_t started_us,
                   const std::vector<usage_report>& reports, absl::Time now);

    /// Whether the window that ended at `end` can be reported.
    bool is_complete(absl::Time end, absl::Time now) const;

    usage_report total(std::int64_t window) const;

private:
    options m_options;
    using process_key = std::pair<node_id, std::int64_t>;

    std::map<std::int64_t, std::map<process_key, usage_report>> m_counts;
    // Keyed by node, not by process: a process that has been replaced sends no more counts.
    std::map<node_id, absl::Time> m_last_heard;
};

} // namespace chivedeal::forward

#endif
