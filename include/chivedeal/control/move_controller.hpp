#ifndef CHIVEDEAL_CONTROL_MOVE_CONTROLLER_HPP
#define CHIVEDEAL_CONTROL_MOVE_CONTROLLER_HPP

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/control/evidence_counter.hpp"
#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/move_command.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/state/record.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chivedeal {
class clock;
}
namespace chivedeal::membership {
class gossip_port;
}
namespace chivedeal::state {
class record_sink;
}

namespace chivedeal::control {

class move_feed;
class rollout_policy;

/// Thread that counts outcomes, calls the rollout policy at a fixed interval and executes its
/// commands.
class move_controller : public duty
{
public:
    struct options
    {
        const clock& time;
        node_id self;
        bounded_ring<attempt_sample>& inbox;
        const move_feed& feed;
        const shared_cell<control::held_leases>& held_leases;
        state::record_sink& records;
        membership::gossip_port& gossip;
        std::shared_ptr<rollout_policy> policy;
    };

    explicit move_controller(options wiring);

    std::string name() const override { return "move_controller"; }
    void run() override;
    void request_stop() override;

private:
    void evaluate();
    void execute(const move_command& command);
    void append(state::record_body body);

    options m_options;
    evidence_counter m_counter;
    std::string m_change_prefix;
    std::uint64_t m_next_change = 1;
    absl::Time m_next_publish = absl::InfinitePast();
};

} // namespace chivedeal::control

#endif
