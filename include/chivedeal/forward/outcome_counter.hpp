#ifndef CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP
#define CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <map>
#include <vector>

namespace chivedeal::forward {

/// Counts good and bad responses by version, for services that are being rolled out.
class outcome_counter
{
public:
    /// Starts counting from zero for a new roll-out order.
    void start_counting(const rollout_order& order);

    /// Ignores services without a roll-out.
    void count(const service_id& service, const version_id& version, bool good);

    std::vector<version_outcomes> snapshot() const;

private:
    std::map<service_id, version_outcomes> m_counts;
};

} // namespace chivedeal::forward

#endif
