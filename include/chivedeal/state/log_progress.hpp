#ifndef CHIVEDEAL_STATE_LOG_PROGRESS_HPP
#define CHIVEDEAL_STATE_LOG_PROGRESS_HPP

#include <cstddef>
#include <cstdint>

namespace chivedeal::state {

/// Growth of the control stream since its newest complete snapshot.
struct log_progress
{
    /// Number of complete snapshots seen in the log.
    std::uint64_t snapshots_seen = 0;
    std::size_t snapshot_bytes = 0;
    /// Size of the other records since that snapshot.
    std::size_t record_bytes = 0;

    friend bool operator==(const log_progress&, const log_progress&) = default;
};

} // namespace chivedeal::state

#endif
