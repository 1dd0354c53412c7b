#ifndef CHIVEDEAL_STATE_KEEPER_MEMBERSHIP_LISTENER_HPP
#define CHIVEDEAL_STATE_KEEPER_MEMBERSHIP_LISTENER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/state/keeper_event.hpp"

#include <memory>
#include <utility>

namespace chivedeal::state {

/// Forwards membership views to the state keeper, which uses them to find peers with newer state.
class keeper_membership_listener : public membership::membership_listener
{
public:
    explicit keeper_membership_listener(bounded_ring<keeper_event>& inbox) : m_inbox(inbox) {}

    /// Drops the view if the ring is full; the next view follows within a second.
    void on_view(std::shared_ptr<const membership::membership_view> view) override
    {
        (void)m_inbox.try_push(std::move(view));
    }

private:
    bounded_ring<keeper_event>& m_inbox;
};

} // namespace chivedeal::state

#endif
