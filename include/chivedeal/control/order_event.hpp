#ifndef CHIVEDEAL_CONTROL_ORDER_EVENT_HPP
#define CHIVEDEAL_CONTROL_ORDER_EVENT_HPP

#include "chivedeal/control/client_token.hpp"
#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <string>
#include <variant>
#include <vector>

namespace chivedeal::control {

/// Placement requested another instance.
struct start_requested
{
    instance_pool pool;
    service_id service;
    version_id version;

    friend bool operator==(const start_requested&, const start_requested&) = default;
};

/// Placement requested the stop of an instance. Ignored unless the drain is confirmed.
struct stop_requested
{
    instance_id instance;
    bool drain_confirmed = false;

    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};

/// An engine should load or unload a version. Unloading requires a confirmed drain.
struct load_change_requested
{
    endpoint_id endpoint;
    version_id version;
    std::string model;
    std::string adapter;
    bool loaded = true;
    bool drain_confirmed = false;

    friend bool operator==(const load_change_requested&, const load_change_requested&) = default;
};

/// The cloud refused a start; no instance was started.
struct start_refused
{
    client_token token;

    friend bool operator==(const start_refused&, const start_refused&) = default;
};

/// The cloud confirmed a start and returned the identifier of the instance.
struct start_confirmed
{
    client_token token;
    instance_id instance;

    friend bool operator==(const start_confirmed&, const start_confirmed&) = default;
};

/// All instances on the platform, with the tokens that started them.
struct instances_listed
{
    struct entry
    {
        instance_id instance;
        std::string token;

        friend bool operator==(const entry&, const entry&) = default;
    };

    std::vector<entry> entries;

    friend bool operator==(const instances_listed&, const instances_listed&) = default;
};

/// An engine reported its loaded versions.
struct loaded_versions_read
{
    endpoint_id endpoint;
    std::vector<version_id> versions;

    friend bool operator==(const loaded_versions_read&, const loaded_versions_read&) = default;
};

/// An engine rejected an order because it has accepted one from a newer lease holder.
struct stale_fence_reported
{
    friend bool operator==(const stale_fence_reported&, const stale_fence_reported&) = default;
};

/// Periodic tick that expires entries and sends due orders.
struct order_tick
{
    friend bool operator==(const order_tick&, const order_tick&) = default;
};

using order_event = std::variant<start_requested, stop_requested, load_change_requested,
                                 start_refused, start_confirmed, instances_listed,
                                 loaded_versions_read, stale_fence_reported, order_tick>;

} // namespace chivedeal::control

#endif
