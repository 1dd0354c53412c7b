#ifndef CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP
#define CHIVEDEAL_FORWARD_OUTCOME_COUNTER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/failure_history.hpp"
#include "chivedeal/forward/pace_baseline.hpp"
#include "chivedeal/forward/response_counts.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// Counts good and bad responses by version, for services that are being rolled out. A response is
/// bad if it fails, misses its latency objective by far, or is slow compared with the responses of
/// the stable versions on its route.
///
/// In each interval and on each route, the target's responses are compared with those of the stable
/// versions: failures that both have at the same time show nothing about the target, and failures
/// of the stable versions at another time excuse none of it. Without responses of the stable
/// versions in the interval, their usual failure rate takes their place.
class outcome_counter
{
public:
    /// Starts counting from zero for a new roll-out order. Counts of a rewritten one are kept.
    void start_counting(const rollout_order& order);
    /// The versions that the target is compared with; all others if empty.
    void set_stable(const service_id& service, std::set<version_id> stable);

    /// Ignores services without a roll-out, and versions that are neither the target nor stable.
    void count(const service_id& service, const version_id& version, const std::string& route,
               bool good, absl::Time now);
    /// Counts a complete response. `pace` is compared within the route and absent if the response
    /// was too short to show one.
    void count_response(const service_id& service, const version_id& version,
                        const std::string& route, std::optional<double> pace, bool in_time,
                        absl::Time now);

    std::vector<version_outcomes> snapshot() const;

    /// Whether a request should go to the target version whatever its share, since this node has seen
    /// no good response of it on the route: a route with few requests would otherwise show its
    /// failures only when all traffic has moved. Returns true at most every 500 ms for a service, and
    /// only until `max_failures` responses on such routes have failed.
    bool take_trial(const service_id& service, const std::string& route, double max_failures,
                    absl::Time now);

private:
    struct route_counts
    {
        // Responses in the interval under way.
        response_counts target;
        response_counts stable;
        // Of the target, since the order.
        response_counts target_total;
        // Of the stable versions, before this interval.
        failure_history history;
        pace_baseline pace;
    };

    struct watched_service
    {
        version_outcomes totals;
        std::set<version_id> stable;
        absl::Time interval_end = absl::InfinitePast();
        std::map<std::string, route_counts> routes;
        failure_history history;
        double expected_bad = 0;
        absl::Time next_trial = absl::InfinitePast();
    };

    static void add_comparisons(const watched_service& watched, version_outcomes& totals,
                                double& expected_bad);
    static void end_interval(watched_service& watched);

    std::map<service_id, watched_service> m_services;
};

} // namespace chivedeal::forward

#endif
