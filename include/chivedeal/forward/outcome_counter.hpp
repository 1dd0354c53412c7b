#ifndef CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP
#define CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/pace_baseline.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// Counts good and bad responses by version, for services that are being rolled out. A response is
/// bad if it fails, misses its latency objective by far, or is slow compared with the responses of
/// the other versions on its route.
class outcome_counter
{
public:
    /// Starts counting from zero for a new roll-out order. Counts of a rewritten one are kept.
    void start_counting(const rollout_order& order);

    /// Ignores services without a roll-out.
    void count(const service_id& service, const version_id& version, bool good);
    /// Counts a complete response. `pace` is compared within the route and absent if the response
    /// was too short to show one.
    void count_response(const service_id& service, const version_id& version,
                        const std::string& route, std::optional<double> pace, bool in_time,
                        absl::Time now);

    std::vector<version_outcomes> snapshot() const;

private:
    std::map<service_id, version_outcomes> m_counts;
    // Pace of the other versions' responses since the order, by route.
    std::map<service_id, std::map<std::string, pace_baseline>> m_baselines;
};

} // namespace chivedeal::forward

#endif
