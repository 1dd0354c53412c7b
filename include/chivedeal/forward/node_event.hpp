#ifndef CHIVEDEAL_FORWARD_NODE_EVENT_HPP
#define CHIVEDEAL_FORWARD_NODE_EVENT_HPP

#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/local_state.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/forward/prompt_notice.hpp"
#include "chivedeal/forward/rollout_order.hpp"

#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <variant>

namespace chivedeal::forward {

class route_index;

/// What the duties of a node tell each other.
///
/// Large values are shared: all slots of a ring stay in memory once it has gone round, and events
/// that held beacons themselves took 7 MB a node.
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

    struct endpoint_changed
    {
        std::shared_ptr<const endpoint_record> record;
    };

    struct endpoint_removed
    {
        endpoint_id id;
    };

    /// The list of endpoints has been read for the first time.
    struct endpoints_loaded
    {};

    /// `before` is the last beacon of the same process.
    struct peer_heard
    {
        std::shared_ptr<const node_beacon> beacon;
        std::shared_ptr<const node_beacon> before;
    };

    struct prompt_noticed
    {
        prompt_notice notice;
    };

    struct peer_lost
    {
        node_id node;
    };

    /// Share of a service's requests that a version gets; absent to end the split.
    struct version_decided
    {
        service_id service;
        version_id version;
        std::optional<double> share;
    };

    /// What this node counts, for the control duties.
    struct local_counted
    {
        std::shared_ptr<const local_state> state;
    };

    /// True time minus the steady clock.
    struct true_time_changed
    {
        absl::Duration offset;
    };

    /// The node shall leave gracefully.
    struct drain_requested
    {};

    std::variant<config_changed, rollout_ordered, endpoint_changed, endpoint_removed,
                 endpoints_loaded, peer_heard, prompt_noticed, peer_lost, version_decided,
                 local_counted, true_time_changed, drain_requested>
        value;
};

} // namespace chivedeal::forward

#endif
