#ifndef CHIVEDEAL_FORWARD_RELAY_LISTENER_HPP
#define CHIVEDEAL_FORWARD_RELAY_LISTENER_HPP

namespace chivedeal::forward {

struct relayed_batch;

/// Takes what a peer read of the store; puts it on a ring and returns.
class relay_listener
{
public:
    virtual ~relay_listener() = default;

    virtual void on_relay(const relayed_batch& batch) = 0;
};

} // namespace chivedeal::forward

#endif
