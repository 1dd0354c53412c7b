#ifndef CHIVEDEAL_CONTROL_LEASE_FEED_HPP
#define CHIVEDEAL_CONTROL_LEASE_FEED_HPP

#include "chivedeal/control/lease_event.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/state/state_listener.hpp"

namespace chivedeal::control {

/// Pushes lease grants and cluster states to the inbox of the lease keeper, and outlives restarts
/// of the keeper. If a full ring drops a grant, the keeper sees its effect in the next state.
class lease_feed : public state::state_listener
{
public:
    explicit lease_feed(bounded_ring<lease_event>& inbox) : m_inbox(inbox) {}

    void on_applied(const state::applied_record& applied) override;
    void on_state(std::shared_ptr<const state::cluster_state> state) override;

private:
    bounded_ring<lease_event>& m_inbox;
};

} // namespace chivedeal::control

#endif
