#ifndef CHIVEDEAL_CONTROL_PLACEMENT_FEED_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_FEED_HPP

#include "chivedeal/control/load_sink.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/core/bounded_ring.hpp"

namespace chivedeal::control {

/// Pushes load samples to the ring of the placement controller; outlives restarts of the
/// controller.
class placement_feed : public load_sink
{
public:
    explicit placement_feed(bounded_ring<placement_event>& inbox) : m_inbox(inbox) {}

    void add_load(const load_sample& sample) override { (void)m_inbox.try_push(sample); }

private:
    bounded_ring<placement_event>& m_inbox;
};

} // namespace chivedeal::control

#endif
