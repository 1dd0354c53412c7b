#ifndef CHIVEDEAL_CONTROL_FIXED_STEP_POLICY_HPP
#define CHIVEDEAL_CONTROL_FIXED_STEP_POLICY_HPP

#include "chivedeal/control/rollout_policy.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>
#include <vector>

namespace chivedeal::control {

/// Baseline for the benchmark: raises the share of the new version to 10, 25, 50 and 100% at fixed
/// times and rolls back when its error rate exceeds a threshold.
class fixed_step_policy : public rollout_policy
{
public:
    struct options
    {
        absl::Duration step_duration = absl::Minutes(2);
        double error_threshold = 0.05;
        /// Requests that the new version must have served before the threshold applies.
        double min_requests = 20;
    };

    explicit fixed_step_policy(options settings) : m_options(settings) {}

    std::vector<move_command> handle(const move_inputs& inputs, absl::Time now) override;

private:
    options m_options;
    std::map<service_id, absl::Time> m_started_at;
};

} // namespace chivedeal::control

#endif
