#ifndef CHIVEDEAL_FORWARD_WEIGHTED_SERVICE_HPP
#define CHIVEDEAL_FORWARD_WEIGHTED_SERVICE_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::forward {

/// A service that receives a share of a route's requests.
struct weighted_service
{
    service_id service;
    /// Relative to the other services of the route.
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

} // namespace chivedeal::forward

#endif
