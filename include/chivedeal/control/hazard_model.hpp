#ifndef CHIVEDEAL_CONTROL_HAZARD_MODEL_HPP
#define CHIVEDEAL_CONTROL_HAZARD_MODEL_HPP

#include "chivedeal/control/instance_pool.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::control {

/// Rate of reclaims by pool, learnt from what happened: a Gamma prior over a Poisson rate.
class hazard_model
{
public:
    /// `instances` of the pool ran for `elapsed`. Older evidence fades with a half-life of two
    /// days, since the cloud's spare capacity changes.
    void on_exposure(const instance_pool& pool, double instances, absl::Duration elapsed);

    /// A wave that takes several instances of a pool at once counts once.
    void on_reclaim(const instance_pool& pool);

    /// Expected reclaims an hour; 0 for on-demand pools.
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
