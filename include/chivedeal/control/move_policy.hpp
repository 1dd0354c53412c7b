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

/// Moves traffic by sequential evidence.
///
/// A version gets at most the unproven share until it is shown to be good on each route with
/// traffic; then the share rises by steps that are planned backward from the deadline, with a bake
/// at half of the traffic, where the comparison with the old version is sharpest. Every node rolls
/// back on its own evidence at once; only the holder of the service's lease advances.
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
