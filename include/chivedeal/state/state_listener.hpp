#ifndef CHIVEDEAL_STATE_STATE_LISTENER_HPP
#define CHIVEDEAL_STATE_STATE_LISTENER_HPP

#include <memory>
#include <vector>

namespace chivedeal::state {

struct applied_record;
struct claim_entry;
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

    /// Called with the claims of an adopted snapshot, whose records are not applied one by one.
    virtual void on_claims_restored(const std::vector<claim_entry>& /*claims*/) {}
};

} // namespace chivedeal::state

#endif
