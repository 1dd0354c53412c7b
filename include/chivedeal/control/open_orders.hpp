#ifndef CHIVEDEAL_CONTROL_OPEN_ORDERS_HPP
#define CHIVEDEAL_CONTROL_OPEN_ORDERS_HPP

#include "chivedeal/control/order_command.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace chivedeal::control {

/// A start of this tenure that the cloud's list has shown.
struct listed_start
{
    order_start order;
    instance_id instance;

    friend bool operator==(const listed_start&, const listed_start&) = default;
};

/// What the order sender shows to placement; immutable once published.
struct open_orders
{
    /// Tenure that the orders belong to; 0 without one.
    std::uint64_t grant = 0;
    /// Number of `start_requested` taken from the ring, over all tenures.
    std::uint64_t start_requests_taken = 0;
    /// Monotonic time before the last list of the tenure was asked for.
    absl::Time list_requested_at = absl::InfinitePast();
    /// Starts that no list shows yet.
    std::vector<order_start> unlisted_starts;
    /// Starts that a list has shown; the view of the endpoints may lag behind it.
    std::vector<listed_start> listed_starts;

    friend bool operator==(const open_orders&, const open_orders&) = default;
};

} // namespace chivedeal::control

#endif
