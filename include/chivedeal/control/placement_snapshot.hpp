#ifndef CHIVEDEAL_CONTROL_PLACEMENT_SNAPSHOT_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_SNAPSHOT_HPP

#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::control {

/// Price and capacity of an instance of a pool.
struct pool_offer
{
    instance_pool pool;
    /// Currency units per hour.
    double hourly_price = 0;
    /// Requests per second that an instance serves at the latency target. The planner counts in
    /// endpoints instead.
    double capacity = 0;

    friend bool operator==(const pool_offer&, const pool_offer&) = default;
};

/// Demand of a version; during a move, both versions have an entry.
struct version_demand
{
    service_id service;
    version_id version;
    /// Load that the version has to serve, in the unit of `pool_offer::capacity`.
    double required_capacity = 0;
    std::uint64_t weights_bytes = 0;
    /// Machine classes that can run the version; if empty, any class can.
    std::vector<std::string> classes;

    friend bool operator==(const version_demand&, const version_demand&) = default;
};

enum class instance_phase
{
    starting,
    live,
    draining,
    /// The drain is confirmed: the instance has no open requests.
    drained,
    /// The cloud is reclaiming the instance.
    leaving,
};

struct placed_instance
{
    instance_id id;
    instance_pool pool;
    service_id service;
    version_id version;
    instance_phase phase = instance_phase::live;

    friend bool operator==(const placed_instance&, const placed_instance&) = default;
};

/// Complete input of a placement decision for a region.
struct placement_snapshot
{
    std::vector<pool_offer> offers;
    std::vector<version_demand> demands;
    std::vector<placed_instance> instances;

    friend bool operator==(const placement_snapshot&, const placement_snapshot&) = default;
};

} // namespace chivedeal::control

#endif
