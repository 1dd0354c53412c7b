#ifndef CHIVEDEAL_FORWARD_DUTY_FENCE_HPP
#define CHIVEDEAL_FORWARD_DUTY_FENCE_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// Holder of the control lease and the fencing token of its grant.
struct duty_fence
{
    node_id holder;
    std::uint64_t token = 0;

    friend bool operator==(const duty_fence&, const duty_fence&) = default;
};

} // namespace chivedeal::forward

#endif
