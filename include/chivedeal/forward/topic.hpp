#ifndef CHIVEDEAL_FORWARD_TOPIC_HPP
#define CHIVEDEAL_FORWARD_TOPIC_HPP

namespace chivedeal::forward {

/// The topics of the platform's store that the nodes use.
enum class topic
{
    /// Written by the operator: the configuration and roll-out orders.
    configuration,
    /// Written by the endpoints.
    endpoints,
    /// State of each roll-out, for the operator.
    rollout_status,
    /// Addresses of the nodes.
    nodes,
    /// Grants of the control lease, a plain log.
    lease,
    /// Started requests by node and window, a plain log.
    usage,
};

} // namespace chivedeal::forward

#endif
