#ifndef CHIVEDEAL_FORWARD_RECORD_BATCH_HPP
#define CHIVEDEAL_FORWARD_RECORD_BATCH_HPP

#include "chivedeal/forward/stored_record.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// Records of a topic and the offset of the next read.
struct record_batch
{
    std::vector<stored_record> records;
    std::uint64_t next_offset = 0;
    /// The requested records are no longer retained; `next_offset` is the first offset that is.
    bool truncated = false;

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

} // namespace chivedeal::forward

#endif
