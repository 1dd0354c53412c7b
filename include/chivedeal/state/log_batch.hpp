#ifndef CHIVEDEAL_STATE_LOG_BATCH_HPP
#define CHIVEDEAL_STATE_LOG_BATCH_HPP

#include "chivedeal/state/log_entry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Result of reading a stream of the log.
struct log_batch
{
    std::string stream;
    /// Oldest offset that the log retains.
    std::uint64_t first = 1;
    /// Offset that the log will assign to the next record.
    std::uint64_t next = 1;
    std::vector<log_entry> entries;

    friend bool operator==(const log_batch&, const log_batch&) = default;
};

} // namespace chivedeal::state

#endif
