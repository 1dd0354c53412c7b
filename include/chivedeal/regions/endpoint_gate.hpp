#ifndef CHIVEDEAL_REGIONS_ENDPOINT_GATE_HPP
#define CHIVEDEAL_REGIONS_ENDPOINT_GATE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/regions/cold_limiter.hpp"
#include "chivedeal/regions/cold_spec.hpp"
#include "chivedeal/regions/cold_tolerance.hpp"
#include "chivedeal/regions/gate_verdict.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>

namespace chivedeal::forward {
struct endpoint_record;
} // namespace chivedeal::forward

namespace chivedeal::regions {

/// Decides whether an endpoint may get a request at all: its zone lies in a home region of the
/// request and is not evacuated, and this node has a permit if the endpoint is cold.
///
/// Nodes don't coordinate. Each one uses its share of a cold endpoint's rate, which depends on the
/// number of nodes only.
class endpoint_gate
{
public:
    struct options
    {
        std::map<zone_id, region_id> zones;
        cold_tolerance tolerance;
        /// For the phases of the permits, which have to differ between nodes.
        std::uint64_t seed = 1;
    };

    explicit endpoint_gate(options settings);

    /// Sets the limits of the services that have one.
    void set_cold_specs(std::map<service_id, cold_spec> specs, absl::Time now);
    /// Sets the number of nodes that may send requests. Too many are safe, too few are not.
    void set_node_count(int nodes, absl::Time now);
    /// The endpoints of zones that are no longer evacuated count as cold.
    void set_evacuated_zones(std::set<zone_id> zones, absl::Time now);
    /// The list of endpoints was read for the first time. Endpoints that appear later on have
    /// started or returned.
    void on_endpoints_loaded() { m_loaded = true; }

    void on_record(const forward::endpoint_record& record, absl::Time now);
    void on_removed(const endpoint_id& id, absl::Time now);
    /// No connection, or another endpoint uses the address.
    void on_unreachable(const endpoint_id& id);
    /// The endpoint answered a request of this node.
    void on_answered(const endpoint_id& id, absl::Time now);
    /// A response states for how long the endpoint remains cold.
    void on_cold_reported(const endpoint_id& id, absl::Duration remaining, absl::Time now);

    /// Forgets the cold ends that have passed, which makes `check` faster. Goes through all
    /// endpoints.
    void recompute_latest_cold_end();

    gate_verdict check(const forward::endpoint_record& record, const home_regions& homes,
                       absl::Time now) const;
    bool is_evacuated(const endpoint_id& id) const;
    /// Number of endpoints that are cold as far as this node knows.
    int cold_count(absl::Time now) const;

    /// A request is sent to the endpoint. Uses a permit if the endpoint is cold.
    void on_sent(const endpoint_id& id, absl::Time now);

private:
    struct tracked_endpoint
    {
        service_id service;
        zone_id zone;
        chivedeal::address address;
        std::int64_t started_at_unix_ms = 0;
        absl::Time reported_cold_until = absl::InfinitePast();
        // When the endpoint probably became cold without a report.
        absl::Time assumed_cold_since = absl::InfinitePast();
        bool is_unreachable = false;
        // Set while the endpoint has no record.
        absl::Time removed_at = absl::InfiniteFuture();
        cold_limiter limiter;
    };

    // Returns until when the endpoint is cold as far as this node knows.
    absl::Time cold_end(const tracked_endpoint& endpoint) const;
    // To be called after a change that may prolong `cold_end`.
    void extend_latest_cold_end(const tracked_endpoint& endpoint);
    void apply_report(tracked_endpoint& endpoint, absl::Duration remaining, absl::Time now) const;
    void update_share(tracked_endpoint& endpoint, absl::Time now);

    options m_options;
    std::mt19937_64 m_random;
    std::map<service_id, cold_spec> m_cold_specs;
    std::set<zone_id> m_evacuated_zones;
    int m_node_count = 1;
    bool m_loaded = false;
    // No endpoint is cold from this time on. Without it, the look-up of each endpoint made a choice
    // among 1,800 endpoints take 104 us instead of 66.
    absl::Time m_latest_cold_end = absl::InfinitePast();
    absl::flat_hash_map<endpoint_id, tracked_endpoint> m_endpoints;
};

} // namespace chivedeal::regions

#endif
