#ifndef CHIVEDEAL_MEMBERSHIP_NODE_RECORD_HPP
#define CHIVEDEAL_MEMBERSHIP_NODE_RECORD_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::membership {

enum class node_status
{
    alive,
    suspect,
    dead,
    leaving,
};

/// What is known of an entry node.
struct node_record
{
    node_id id;
    /// For callers and operators.
    address http;
    /// For peers.
    address rpc;
    region_id region;
    zone_id zone;
    /// Raised by the node itself to refute a suspicion.
    std::uint64_t incarnation = 0;
    node_status status = node_status::alive;
    /// Whether the node has a state and takes requests.
    bool ready = false;
    std::uint64_t applied_offset = 0;

    friend bool operator==(const node_record&, const node_record&) = default;
};

} // namespace chivedeal::membership

#endif
