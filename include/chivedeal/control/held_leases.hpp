#ifndef CHIVEDEAL_CONTROL_HELD_LEASES_HPP
#define CHIVEDEAL_CONTROL_HELD_LEASES_HPP

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::control {

/// One tenure of this node.
struct held_lease
{
    std::string scope;
    /// Fencing number of orders: offset of the grant that began the tenure in the log.
    std::uint64_t fence = 0;
    /// Offset of the first grant that this process read back. Differs from `fence` when a node
    /// starts again under the same name, so that client tokens are not used twice.
    std::uint64_t grant = 0;
    /// Monotonic time of the first read-back.
    absl::Time since;
    /// Monotonic time from which on the lease must not be used.
    absl::Time expires;

    friend bool operator==(const held_lease&, const held_lease&) = default;
};

/// Leases of this node; immutable once published.
struct held_leases
{
    std::vector<held_lease> leases;

    /// Returns the lease when it may be used at `now`. Call it with a fresh reading of the clock
    /// right before each order, since the thread may have been paused after any earlier check.
    std::optional<held_lease> find(const std::string& scope, absl::Time now) const;

    friend bool operator==(const held_leases&, const held_leases&) = default;
};

} // namespace chivedeal::control

#endif
