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
    /// Grants of the control lease and usage reports about to be sent, a plain log.
    lease,
};

} // namespace chivedeal::forward

#endif
