#ifndef CHIVEDEAL_CONTROL_POOL_PRICE_HPP
#define CHIVEDEAL_CONTROL_POOL_PRICE_HPP

#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

namespace chivedeal::control {

/// Price of an instance of a pool.
struct pool_price
{
    region_id region;
    instance_pool pool;
    /// Currency units per hour.
    double hourly_price = 0;

    friend bool operator==(const pool_price&, const pool_price&) = default;
};

} // namespace chivedeal::control

#endif
