#ifndef CHIVEDEAL_FORWARD_RELAYED_BATCH_HPP
#define CHIVEDEAL_FORWARD_RELAYED_BATCH_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/stored_record.hpp"
#include "chivedeal/forward/topic.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// Records that a node read from a topic and sends to the nodes of its region, so that they need
/// not read the topic themselves.
struct relayed_batch
{
    node_id sender;
    topic from = topic::endpoints;
    /// The read covers the offsets from `begin_offset` (inclusive) to `end_offset` (exclusive).
    std::uint64_t begin_offset = 0;
    std::uint64_t end_offset = 0;
    /// Whether `records` contains all changes in this range.
    bool complete = false;
    std::vector<stored_record> records;
    /// Epoch of the store that the offsets belong to.
    std::uint64_t epoch = 0;

    friend bool operator==(const relayed_batch&, const relayed_batch&) = default;
};

} // namespace chivedeal::forward

#endif
