#ifndef CHIVEDEAL_FORWARD_NODE_EVENT_HPP
#define CHIVEDEAL_FORWARD_NODE_EVENT_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/local_state.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/forward/prompt_notice.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_split.hpp"

#include "absl/time/time.h"

#include <memory>
#include <set>
#include <variant>

namespace chivedeal::forward {

class route_index;

/// An event sent between the duties of a node.
///
/// Large values are held by shared pointers: a ring keeps all its slots in memory once it has
/// wrapped around, and events that contained beacons took 7 MB per node.
struct node_event
{
    /// A newer configuration is in force.
    struct config_changed
    {
        std::shared_ptr<const route_index> index;
    };

    struct rollout_ordered
    {
        rollout_order order;
    };

    /// The zones that are evacuated from now on.
    struct evacuations_changed
    {
        std::shared_ptr<const std::set<zone_id>> zones;
    };

    struct endpoint_changed
    {
        std::shared_ptr<const endpoint_record> record;
    };

    struct endpoint_removed
    {
        endpoint_id id;
    };

    /// The endpoint gets no requests from `due` on, unless its record returns before. The event
    /// lets its receiver act in time while the watcher waits for the store.
    struct endpoint_removal_scheduled
    {
        endpoint_id id;
        absl::Time due;
    };

    /// The list of endpoints was read for the first time.
    struct endpoints_loaded
    {};

    /// `previous` is the previous beacon of the same process, if any.
    struct peer_heard
    {
        std::shared_ptr<const node_beacon> beacon;
        std::shared_ptr<const node_beacon> previous;
    };

    struct prompt_noticed
    {
        prompt_notice notice;
    };

    struct peer_lost
    {
        node_id node;
    };

    /// The list of all nodes that ever registered was read.
    struct nodes_listed
    {
        int count = 0;
    };

    /// Sets how a service's requests are divided between its versions; no split ends the division.
    struct version_split_changed
    {
        service_id service;
        std::shared_ptr<const version_split> split;
    };

    /// Counters of this node, for the control duties.
    struct local_counters_updated
    {
        std::shared_ptr<const local_state> state;
    };

    /// Offset of the agreed wall-clock time from the steady clock.
    struct wall_clock_offset_changed
    {
        absl::Duration offset;
    };

    /// A graceful shutdown was requested.
    struct drain_requested
    {};

    std::variant<config_changed, rollout_ordered, evacuations_changed, endpoint_changed,
                 endpoint_removed, endpoint_removal_scheduled, endpoints_loaded, peer_heard,
                 prompt_noticed, peer_lost, nodes_listed, version_split_changed,
                 local_counters_updated, wall_clock_offset_changed, drain_requested>
        value;
};

} // namespace chivedeal::forward

#endif
