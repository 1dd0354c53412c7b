#ifndef CHIVEDEAL_STATE_LOG_PROGRESS_HPP
#define CHIVEDEAL_STATE_LOG_PROGRESS_HPP

#include <cstddef>
#include <cstdint>

namespace chivedeal::state {

/// How far the control stream has grown since its newest complete snapshot.
struct log_progress
{
    /// Complete snapshots seen in the log.
    std::uint64_t snapshots_seen = 0;
    std::size_t snapshot_bytes = 0;
    /// Bytes of other records since then.
    std::size_t record_bytes = 0;

    friend bool operator==(const log_progress&, const log_progress&) = default;
};

} // namespace chivedeal::state

#endif
