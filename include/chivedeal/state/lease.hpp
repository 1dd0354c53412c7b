#ifndef CHIVEDEAL_STATE_LEASE_HPP
#define CHIVEDEAL_STATE_LEASE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// Newest grant or renewal of the lease of a scope.
struct lease
{
    std::string scope;
    node_id holder;
    absl::Duration term;
    /// Offset of the grant by which the holder acquired the lease; used as the fencing token of
    /// orders.
    std::uint64_t fence = 0;
    /// Offset of the newest grant or renewal; a later grant must name it.
    std::uint64_t renewal = 0;

    friend bool operator==(const lease&, const lease&) = default;
};

} // namespace chivedeal::state

#endif
