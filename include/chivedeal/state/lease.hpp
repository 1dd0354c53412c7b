#ifndef CHIVEDEAL_STATE_LEASE_HPP
#define CHIVEDEAL_STATE_LEASE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// The newest grant or renewal of a lease scope.
struct lease
{
    std::string scope;
    node_id holder;
    absl::Duration term;
    /// Offset of the grant that began the tenure: the fencing number of orders.
    std::uint64_t fence = 0;
    /// Offset of the newest renewal; a takeover names it.
    std::uint64_t renewal = 0;

    friend bool operator==(const lease&, const lease&) = default;
};

} // namespace chivedeal::state

#endif
