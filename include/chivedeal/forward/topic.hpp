#ifndef CHIVEDEAL_FORWARD_TOPIC_HPP
#define CHIVEDEAL_FORWARD_TOPIC_HPP

namespace chivedeal::forward {

/// Topics of the platform's store that the nodes use.
enum class topic
{
    /// The configuration and roll-out orders, written by the operator.
    configuration,
    /// State of the endpoints, written by the endpoints themselves.
    endpoints,
    /// State of each roll-out, for the operator.
    rollout_status,
    /// Addresses of the nodes.
    nodes,
    /// Plain log of control lease grants and of usage reports that are about to be sent.
    lease,
};

} // namespace chivedeal::forward

#endif
