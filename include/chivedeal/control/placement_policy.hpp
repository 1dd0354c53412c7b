#ifndef CHIVEDEAL_CONTROL_PLACEMENT_POLICY_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_POLICY_HPP

#include "chivedeal/control/hazard_model.hpp"
#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/control/placement_command.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chivedeal::control {

struct placed_instance;
struct placement_snapshot;
struct pool_offer;
struct version_demand;

/// Chooses the cheapest instances that still cover the demand after the loss of all reclaimable
/// instances of any one zone. On-demand instances are used only where reclaimable ones cannot.
class placement_policy
{
public:
    struct options
    {
        /// Ratios of capacity to demand: instances are started below `start_headroom` and stopped
        /// above `stop_headroom`. The gap prevents alternating starts and stops.
        double start_headroom = 1.1;
        double stop_headroom = 1.3;
        absl::Duration stop_delay = absl::Minutes(5);
        absl::Duration initial_backoff = absl::Seconds(30);
        absl::Duration max_backoff = absl::Minutes(10);
        absl::Duration boot_time = absl::Seconds(40);
        double weight_store_bytes_per_second = 1e9;
        /// Starts whose weights would wait longer than this for the weight store are deferred.
        absl::Duration max_load_queue_time = absl::Minutes(10);
    };

    explicit placement_policy(options settings) : m_options(settings) {}

    /// Returns the commands for a snapshot; `now` is monotonic. The order book retries orders until
    /// they take effect, and the snapshot includes its pending starts as `starting`.
    std::vector<placement_command> handle(const placement_snapshot& snapshot, absl::Time now);

    void on_start_refused(const instance_pool& pool, absl::Time now);
    void on_started(const instance_pool& pool) { m_backoffs.erase(pool); }

    hazard_model& hazards() { return m_hazards; }

private:
    using version_key = std::pair<service_id, version_id>;
    using zone_capacity = std::map<zone_id, double>;

    struct backoff
    {
        absl::Time until;
        absl::Duration wait;
    };

    // Capacity of live and starting instances; on-demand capacity survives the loss of any zone.
    struct capacity
    {
        zone_capacity reclaimable;
        double on_demand = 0;

        double after_worst_zone_loss() const;
    };

    std::vector<start_instance> plan_starts(const placement_snapshot& snapshot,
                                            const version_demand& demand, const capacity& current,
                                            absl::Time now) const;
    std::optional<drain_instance> plan_drain(const placement_snapshot& snapshot,
                                             const version_demand& demand, const capacity& current,
                                             absl::Time now);
    std::vector<pool_offer> usable_offers(const placement_snapshot& snapshot,
                                          const version_demand& demand, bool reclaimable,
                                          absl::Time now) const;
    double unit_cost(const pool_offer& offer, const version_demand& demand) const;

    options m_options;
    hazard_model m_hazards;
    std::map<instance_pool, backoff> m_backoffs;
    std::map<version_key, absl::Time> m_surplus_since;
};

} // namespace chivedeal::control

#endif
