#ifndef CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP
#define CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <map>
#include <vector>

namespace chivedeal::forward {

/// Counts good and bad answers of the versions of services under a roll-out.
class outcome_counter
{
public:
    /// Counts from zero for a new order.
    void watch(const rollout_order& order);

    /// Services without a roll-out are not counted.
    void count(const service_id& service, const version_id& version, bool good);

    std::vector<version_outcomes> all() const;

private:
    std::map<service_id, version_outcomes> m_counts;
};

} // namespace chivedeal::forward

#endif
