#ifndef CHIVEDEAL_FORWARD_BATCH_LISTENER_HPP
#define CHIVEDEAL_FORWARD_BATCH_LISTENER_HPP

namespace chivedeal::forward {

struct relayed_batch;

/// Receives batches that a peer read from the store. Implementations queue the batch and return.
class batch_listener
{
public:
    virtual ~batch_listener() = default;

    virtual void on_relay(const relayed_batch& batch) = 0;
};

} // namespace chivedeal::forward

#endif
