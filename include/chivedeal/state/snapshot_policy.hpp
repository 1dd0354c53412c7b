#ifndef CHIVEDEAL_STATE_SNAPSHOT_POLICY_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_POLICY_HPP

#include "chivedeal/state/log_progress.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace chivedeal::state {

/// Decides when the holder of the lease `snapshots` appends a snapshot.
class snapshot_policy
{
public:
    struct options
    {
        absl::Duration retention = absl::Hours(24);
        /// Size of the records since the newest snapshot that makes a new one due. The size of that
        /// snapshot applies if larger, so that large snapshots don't make up most of the log.
        std::size_t max_record_bytes = 4 * 1024 * 1024;
        /// Time after which an appended snapshot is considered lost.
        absl::Duration retry_after = absl::Seconds(60);
    };

    explicit snapshot_policy(options limits) : m_options(limits) {}

    /// Returns whether to append a snapshot now. Call this even without the lease, so that
    /// a new holder knows the age of the newest snapshot.
    bool decide(const log_progress& progress, bool holds_lease, absl::Time now);

private:
    options m_options;
    absl::Time m_newest_time = absl::InfinitePast();
    absl::Time m_last_attempt = absl::InfinitePast();
    std::uint64_t m_snapshots_seen = 0;
};

} // namespace chivedeal::state

#endif
