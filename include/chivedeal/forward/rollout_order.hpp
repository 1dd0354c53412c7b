#ifndef CHIVEDEAL_FORWARD_ROLLOUT_ORDER_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_ORDER_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// An operator's order to move a service's traffic to a version.
struct rollout_order
{
    service_id service;
    version_id target;
    absl::Duration duration;
    /// Position of the order's record; distinguishes a repeated order from an earlier one.
    std::uint64_t offset = 0;
    /// The order in force was written again after the store was restored; its progress is kept.
    bool rewritten = false;

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

} // namespace chivedeal::forward

#endif
