#ifndef CHIVEDEAL_CONTROL_OPEN_ORDERS_HPP
#define CHIVEDEAL_CONTROL_OPEN_ORDERS_HPP

#include "chivedeal/control/order_command.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace chivedeal::control {

/// Start of the current lease tenure whose instance has appeared in the instance list of the cloud.
struct listed_start
{
    order_start order;
    instance_id instance;

    friend bool operator==(const listed_start&, const listed_start&) = default;
};

/// Orders that the order sender publishes to placement; immutable once published.
struct open_orders
{
    /// Grant of the lease tenure that the orders belong to; 0 without a lease.
    std::uint64_t grant = 0;
    /// Number of `start_requested` events taken from the ring, over all tenures.
    std::uint64_t start_requests_taken = 0;
    /// Monotonic time just before the last successful list call of the tenure.
    absl::Time list_requested_at = absl::InfinitePast();
    /// Starts whose instance is not in the instance list yet.
    std::vector<order_start> unlisted_starts;
    /// Starts whose instance has been listed; the membership view may lag behind the list.
    std::vector<listed_start> listed_starts;

    friend bool operator==(const open_orders&, const open_orders&) = default;
};

} // namespace chivedeal::control

#endif
