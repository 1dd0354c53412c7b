#ifndef CHIVEDEAL_FORWARD_RELAY_PORT_HPP
#define CHIVEDEAL_FORWARD_RELAY_PORT_HPP

namespace chivedeal::forward {

struct relayed_batch;

/// Sends what a node read to the nodes of its region.
class relay_port
{
public:
    virtual ~relay_port() = default;

    virtual void relay(relayed_batch batch) = 0;
};

} // namespace chivedeal::forward

#endif
