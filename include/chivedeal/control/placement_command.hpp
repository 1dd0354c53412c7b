#ifndef CHIVEDEAL_CONTROL_PLACEMENT_COMMAND_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_COMMAND_HPP

#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <string>
#include <variant>

namespace chivedeal::control {

struct start_instance
{
    instance_pool pool;
    service_id service;
    version_id version;
    std::string reason;

    friend bool operator==(const start_instance&, const start_instance&) = default;
};

/// Stops sending new requests to the instance; it is stopped once the drain is confirmed.
struct drain_instance
{
    instance_id instance;
    std::string reason;

    friend bool operator==(const drain_instance&, const drain_instance&) = default;
};

struct stop_instance
{
    instance_id instance;

    friend bool operator==(const stop_instance&, const stop_instance&) = default;
};

/// Decision of a placement policy.
using placement_command = std::variant<start_instance, drain_instance, stop_instance>;

} // namespace chivedeal::control

#endif
