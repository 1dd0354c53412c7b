#ifndef CHIVEDEAL_FORWARD_BATCH_SENDER_HPP
#define CHIVEDEAL_FORWARD_BATCH_SENDER_HPP

namespace chivedeal::forward {

struct relayed_batch;

/// Sends batches that a node read from the store to the other nodes of its region.
class batch_sender
{
public:
    virtual ~batch_sender() = default;

    virtual void relay(relayed_batch batch) = 0;
};

} // namespace chivedeal::forward

#endif
