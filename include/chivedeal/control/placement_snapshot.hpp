#ifndef CHIVEDEAL_CONTROL_PLACEMENT_SNAPSHOT_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_SNAPSHOT_HPP

#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::control {

/// What the cloud offers in a pool.
struct pool_offer
{
    instance_pool pool;
    double hourly_price = 0;
    /// Requests a second that an instance carries at the latency target.
    double capacity = 0;

    friend bool operator==(const pool_offer&, const pool_offer&) = default;
};

/// Requests a second that a version has to carry; the versions of a move are listed side by side.
struct version_demand
{
    service_id service;
    version_id version;
    double required_capacity = 0;
    std::uint64_t weights_bytes = 0;
    /// Machine classes that can run it; empty allows any.
    std::vector<std::string> classes;

    friend bool operator==(const version_demand&, const version_demand&) = default;
};

enum class instance_phase
{
    starting,
    live,
    draining,
    /// The drain is confirmed: no request is left on it.
    drained,
    /// The cloud reclaims it.
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

/// All that a placement decision for a region rests on.
struct placement_snapshot
{
    std::vector<pool_offer> offers;
    std::vector<version_demand> demands;
    std::vector<placed_instance> instances;

    friend bool operator==(const placement_snapshot&, const placement_snapshot&) = default;
};

} // namespace chivedeal::control

#endif
