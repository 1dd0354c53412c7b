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

/// Adds up what all processes counted, and tells when a window's counts are all there.
class usage_collector
{
public:
    struct options
    {
        absl::Duration window;
        /// A window is reported no sooner than this after its end: by then all nodes have told
        /// their counts, also those that beacon only each second.
        absl::Duration delay = absl::Milliseconds(1800);
        /// A node that was heard in the window, but not since its end, is waited for until this long
        /// after the end.
        absl::Duration patience = absl::Seconds(5);
        /// Counts that were sent this soon after the end may lack the window's last requests.
        absl::Duration settling = absl::Milliseconds(200);
    };

    explicit usage_collector(options settings) : m_options(settings) {}

    /// A node's process is known by its start: after a restart it counts from zero.
    void on_counts(const node_id& node, std::int64_t started_us,
                   const std::vector<usage_report>& reports, absl::Time now);

    /// Whether the window that ended at `end` can be reported.
    bool is_complete(absl::Time end, absl::Time now) const;

    usage_report total(std::int64_t window) const;

private:
    options m_options;
    using process = std::pair<node_id, std::int64_t>;

    std::map<std::int64_t, std::map<process, usage_report>> m_counts;
    // By node: a process that another one follows tells nothing more.
    std::map<node_id, absl::Time> m_heard;
};

} // namespace chivedeal::forward

#endif
