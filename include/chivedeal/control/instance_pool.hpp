#ifndef CHIVEDEAL_CONTROL_INSTANCE_POOL_HPP
#define CHIVEDEAL_CONTROL_INSTANCE_POOL_HPP

#include "chivedeal/core/id.hpp"

#include <compare>
#include <string>

namespace chivedeal::control {

/// Group of interchangeable instances. Prices, refused starts and reclaims are tracked per pool.
struct instance_pool
{
    zone_id zone;
    std::string machine_class;
    bool reclaimable = true;

    friend bool operator==(const instance_pool&, const instance_pool&) = default;
    friend auto operator<=>(const instance_pool&, const instance_pool&) = default;
};

} // namespace chivedeal::control

#endif
