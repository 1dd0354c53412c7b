#ifndef CHIVEDEAL_FORWARD_RELAYED_BATCH_HPP
#define CHIVEDEAL_FORWARD_RELAYED_BATCH_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/stored_record.hpp"
#include "chivedeal/forward/topic.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// What a node read from a topic, told to the nodes of its region so that they need not read it.
struct relayed_batch
{
    node_id sender;
    topic from = topic::endpoints;
    /// Offsets that the read covers: from `begin` up to, but without, `next`.
    std::uint64_t begin = 0;
    std::uint64_t next = 0;
    /// Whether `records` holds all changes between the offsets.
    bool complete = false;
    std::vector<stored_record> records;

    friend bool operator==(const relayed_batch&, const relayed_batch&) = default;
};

} // namespace chivedeal::forward

#endif
