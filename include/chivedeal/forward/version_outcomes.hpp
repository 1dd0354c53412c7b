#ifndef CHIVEDEAL_FORWARD_VERSION_OUTCOMES_HPP
#define CHIVEDEAL_FORWARD_VERSION_OUTCOMES_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// Good and bad responses of a service's versions on one node since the roll-out order.
struct version_outcomes
{
    service_id service;
    version_id target;
    /// Offset of the order's record.
    std::uint64_t order_offset = 0;
    std::int64_t target_good = 0;
    std::int64_t target_bad = 0;
    /// Responses of the stable versions.
    std::int64_t other_good = 0;
    std::int64_t other_bad = 0;
    /// The target's responses that were compared with those of the stable versions in the same
    /// interval on the same route; part of the above. Nodes of earlier versions compare none.
    std::int64_t compared_good = 0;
    std::int64_t compared_bad = 0;
    /// Bad responses among the compared ones that the stable versions' failure rate explains, in
    /// thousandths of a response.
    std::int64_t expected_bad_milli = 0;

    friend bool operator==(const version_outcomes&, const version_outcomes&) = default;
};

} // namespace chivedeal::forward

#endif
