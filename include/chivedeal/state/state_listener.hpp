#ifndef CHIVEDEAL_STATE_STATE_LISTENER_HPP
#define CHIVEDEAL_STATE_STATE_LISTENER_HPP

#include <memory>
#include <vector>

namespace chivedeal::state {

struct applied_record;
struct claim_entry;
struct cluster_state;

/// Receives applied records and new states from the state keeper. Called on the keeper's thread:
/// implementations only push an event to a ring.
class state_listener
{
public:
    virtual ~state_listener() = default;

    /// Called for each record, in the offset order of its stream.
    virtual void on_applied(const applied_record& applied) = 0;

    /// Called with the new state after each batch that changes it.
    virtual void on_state(std::shared_ptr<const cluster_state> state) = 0;

    /// Called with the claims of an adopted snapshot; `on_applied` is not called for the records
    /// that the snapshot covers.
    virtual void on_claims_restored(const std::vector<claim_entry>& /*claims*/) {}
};

} // namespace chivedeal::state

#endif
