#ifndef CHIVEDEAL_CONTROL_ORDER_COMMAND_HPP
#define CHIVEDEAL_CONTROL_ORDER_COMMAND_HPP

#include "chivedeal/control/client_token.hpp"
#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace chivedeal::control {

/// Starts an instance; a retry carries the same token.
struct order_start
{
    client_token token;
    instance_pool pool;
    service_id service;
    version_id version;

    friend bool operator==(const order_start&, const order_start&) = default;
};

struct order_stop
{
    client_token token;
    instance_id instance;

    friend bool operator==(const order_stop&, const order_stop&) = default;
};

/// Tells an engine whether to have a version loaded.
struct order_load
{
    endpoint_id endpoint;
    version_id version;
    std::string model;
    std::string adapter;
    bool loaded = true;
    std::uint64_t fence = 0;

    friend bool operator==(const order_load&, const order_load&) = default;
};

/// Reports that a newer holder has the lease; the book sends no further orders.
struct give_up_tenure
{
    friend bool operator==(const give_up_tenure&, const give_up_tenure&) = default;
};

/// Command of the order book. The sender checks the lease again right before it executes one.
using order_command = std::variant<order_start, order_stop, order_load, give_up_tenure>;

} // namespace chivedeal::control

#endif
