#ifndef CHIVEDEAL_CONTROL_MOVE_POLICY_HPP
#define CHIVEDEAL_CONTROL_MOVE_POLICY_HPP

#include "chivedeal/control/move_evidence.hpp"
#include "chivedeal/control/rollout_policy.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::membership {
struct membership_view;
}
namespace chivedeal::state {
struct version_move;
}

namespace chivedeal::control {

/// Rollout policy that uses sequential tests.
///
/// A new version gets at most `max_unproven_share` of the traffic until it is shown to be no worse
/// on each route with traffic. Its share then rises in steps that are scheduled backward from the
/// deadline, with the bake period at half of the traffic, where the comparison with the old version
/// is most sensitive. Every node rolls back immediately on its own evidence; only the holder of the
/// service's lease advances the move.
class move_policy : public rollout_policy
{
public:
    std::vector<move_command> handle(const move_inputs& inputs, absl::Time now) override;

private:
    class move_tracker;

    std::map<service_id, std::shared_ptr<move_tracker>> m_trackers;
};

} // namespace chivedeal::control

#endif
