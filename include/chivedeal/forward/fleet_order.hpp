#ifndef CHIVEDEAL_FORWARD_FLEET_ORDER_HPP
#define CHIVEDEAL_FORWARD_FLEET_ORDER_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::forward {

/// Number of endpoints of one kind that a service should have in a zone.
struct fleet_order
{
    service_id service;
    zone_id zone;
    int desired = 0;
    bool reclaimable = false;

    friend bool operator==(const fleet_order&, const fleet_order&) = default;
};

} // namespace chivedeal::forward

#endif
