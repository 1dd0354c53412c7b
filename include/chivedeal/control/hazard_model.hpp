#ifndef CHIVEDEAL_CONTROL_HAZARD_MODEL_HPP
#define CHIVEDEAL_CONTROL_HAZARD_MODEL_HPP

#include "chivedeal/control/instance_pool.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::control {

/// Estimates the reclaim rate of each pool: a Poisson rate with a Gamma prior.
class hazard_model
{
public:
    /// Records that `instances` of the pool ran for `elapsed`. Older evidence decays with a
    /// half-life of two days because the spare capacity of the cloud changes.
    void on_exposure(const instance_pool& pool, double instances, absl::Duration elapsed);

    /// Records a reclaim. Call it once for a wave that reclaims several instances of a pool
    /// together.
    void on_reclaim(const instance_pool& pool);

    /// Returns the expected number of reclaims per hour; 0 for on-demand pools.
    double hourly_rate(const instance_pool& pool) const;

private:
    struct evidence
    {
        double reclaims = 0;
        double hours = 0;
    };

    std::map<instance_pool, evidence> m_pools;
};

} // namespace chivedeal::control

#endif
