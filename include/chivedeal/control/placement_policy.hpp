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

/// Chooses the cheapest instances that carry the demand after the loss of the reclaimable
/// instances of any one zone. On-demand instances fill only what reclaimable ones cannot.
class placement_policy
{
public:
    struct options
    {
        /// Capacity over the demand below which instances are started, and above which they are
        /// stopped; the gap keeps the policy from starting and stopping in turn.
        double start_headroom = 1.1;
        double stop_headroom = 1.3;
        absl::Duration stop_delay = absl::Minutes(5);
        absl::Duration initial_backoff = absl::Seconds(30);
        absl::Duration max_backoff = absl::Minutes(10);
        absl::Duration boot_time = absl::Seconds(40);
        double weight_store_bytes_per_second = 1e9;
        /// Starts that would load later than this are left for later looks.
        absl::Duration max_load_queue_time = absl::Minutes(10);
    };

    explicit placement_policy(options settings) : m_options(settings) {}

    /// Decides on a look; `now` is monotonic. Commands whose effect does not show in a later look
    /// are repeated by the order book, which the look includes as `starting`.
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

    // Capacity of what runs and starts; on-demand capacity survives any loss.
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
