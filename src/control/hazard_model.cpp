#include "chivedeal/control/hazard_model.hpp"

#include <cmath>

namespace chivedeal::control {

namespace {

// The prior mean is one reclaim in ten hours, weighted like five hours of evidence.
constexpr double prior_reclaims = 0.5;
constexpr double prior_hours = 5;
constexpr double half_life_hours = 48;

} // namespace

void hazard_model::on_exposure(const instance_pool& pool, double instances, absl::Duration elapsed)
{
    evidence& observed = m_pools[pool];
    const double hours = absl::ToDoubleHours(elapsed);
    const double decay = std::exp2(-hours / half_life_hours);
    observed.reclaims *= decay;
    observed.hours = observed.hours * decay + instances * hours;
}

void hazard_model::on_reclaim(const instance_pool& pool) { m_pools[pool].reclaims += 1; }

double hazard_model::hourly_rate(const instance_pool& pool) const
{
    if (!pool.reclaimable)
        return 0;
    const auto pool_evidence = m_pools.find(pool);
    const evidence observed = pool_evidence == m_pools.end() ? evidence{} : pool_evidence->second;
    return (prior_reclaims + observed.reclaims) / (prior_hours + observed.hours);
}

} // namespace chivedeal::control
