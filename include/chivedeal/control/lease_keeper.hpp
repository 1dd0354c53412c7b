#ifndef CHIVEDEAL_CONTROL_LEASE_KEEPER_HPP
#define CHIVEDEAL_CONTROL_LEASE_KEEPER_HPP

#include "chivedeal/control/lease_event.hpp"
#include "chivedeal/control/lease_policy.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::state {
class record_sink;
}

namespace chivedeal::control {

/// Thread that acquires, renews and releases the leases of this node. A `lease_feed` fills its
/// inbox.
///
/// Push `release_leases` before a planned shutdown; if the inbox is only closed, other nodes have
/// to wait until the leases expire.
class lease_keeper : public duty
{
public:
    struct options
    {
        const clock& time;
        bounded_ring<lease_event>& inbox;
        state::record_sink& records;
        /// Leases that are currently held; the other control threads read them.
        shared_cell<control::held_leases>& held_leases;
        lease_policy::options policy;
    };

    explicit lease_keeper(options wiring);

    std::string name() const override { return "lease_keeper"; }
    void run() override;
    void request_stop() override;

private:
    void handle(const lease_event& event);

    options m_options;
    lease_policy m_policy;
};

} // namespace chivedeal::control

#endif
