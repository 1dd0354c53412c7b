#ifndef CHIVEDEAL_FORWARD_ROLLOUT_STATUS_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_STATUS_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/rollout_state.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// State of one roll-out as published to the operator and the other nodes.
struct rollout_status
{
    service_id service;
    version_id target;
    rollout_state state = rollout_state::running;
    /// Offset of the order's record.
    std::uint64_t order_offset = 0;

    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

} // namespace chivedeal::forward

#endif
