#ifndef CHIVEDEAL_STATE_STATE_LISTENER_HPP
#define CHIVEDEAL_STATE_STATE_LISTENER_HPP

#include <memory>

namespace chivedeal::state {

struct applied_record;
struct cluster_state;

/// Receives what the state keeper applies. Runs in the keeper's thread: an implementation only
/// puts an event on a ring.
class state_listener
{
public:
    virtual ~state_listener() = default;

    /// Called for each record, in offset order.
    virtual void on_applied(const applied_record& applied) = 0;

    /// Called after each batch with the new state.
    virtual void on_state(std::shared_ptr<const cluster_state> state) = 0;
};

} // namespace chivedeal::state

#endif
