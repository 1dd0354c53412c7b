#ifndef CHIVEDEAL_CONTROL_ORDER_EVENT_HPP
#define CHIVEDEAL_CONTROL_ORDER_EVENT_HPP

#include "chivedeal/control/client_token.hpp"
#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include <string>
#include <variant>
#include <vector>

namespace chivedeal::control {

/// Wants one more instance.
struct want_start
{
    instance_pool pool;
    service_id service;
    version_id version;

    friend bool operator==(const want_start&, const want_start&) = default;
};

/// Wants an instance gone. Accepted only once its drain is confirmed.
struct want_stop
{
    instance_id instance;
    bool drain_confirmed = false;

    friend bool operator==(const want_stop&, const want_stop&) = default;
};

/// Wants an engine to have a version loaded or not. Unloading needs a confirmed drain.
struct want_loaded
{
    endpoint_id endpoint;
    version_id version;
    std::string model;
    std::string adapter;
    bool loaded = true;
    bool drain_confirmed = false;

    friend bool operator==(const want_loaded&, const want_loaded&) = default;
};

/// The cloud refused a start, so that certainly nothing was started.
struct start_was_refused
{
    client_token token;

    friend bool operator==(const start_was_refused&, const start_was_refused&) = default;
};

/// The cloud named the instance that it started.
struct start_was_answered
{
    client_token token;
    instance_id instance;

    friend bool operator==(const start_was_answered&, const start_was_answered&) = default;
};

/// A list of all instances, with the tokens that started them.
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

/// What an engine reported as loaded.
struct loaded_read
{
    endpoint_id endpoint;
    std::vector<version_id> versions;

    friend bool operator==(const loaded_read&, const loaded_read&) = default;
};

/// An engine refused an order since a newer holder has given one.
struct fence_was_stale
{
    friend bool operator==(const fence_was_stale&, const fence_was_stale&) = default;
};

/// Time passed.
struct order_tick
{
    friend bool operator==(const order_tick&, const order_tick&) = default;
};

using order_event =
    std::variant<want_start, want_stop, want_loaded, start_was_refused, start_was_answered,
                 instances_listed, loaded_read, fence_was_stale, order_tick>;

} // namespace chivedeal::control

#endif
