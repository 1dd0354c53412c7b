#ifndef CHIVEDEAL_FORWARD_RECORD_BATCH_HPP
#define CHIVEDEAL_FORWARD_RECORD_BATCH_HPP

#include "chivedeal/forward/stored_record.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// Records of a topic and the offset at which the next read goes on.
struct record_batch
{
    std::vector<stored_record> records;
    std::uint64_t next = 0;
    /// The records asked for are no longer kept; `next` is the first one that is.
    bool truncated = false;

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

} // namespace chivedeal::forward

#endif
