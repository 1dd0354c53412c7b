#ifndef CHIVEDEAL_CONTROL_HELD_LEASES_HPP
#define CHIVEDEAL_CONTROL_HELD_LEASES_HPP

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::control {

/// A lease during one uninterrupted tenure of this node.
struct held_lease
{
    std::string scope;
    /// Fencing token of orders: log offset of the grant that started the tenure.
    std::uint64_t fencing_token = 0;
    /// Log offset of the first grant that this process read back. It differs from `fencing_token`
    /// after a node restarts under the same name, which keeps client tokens from being reused.
    std::uint64_t first_grant_offset = 0;
    /// Monotonic time at which that grant was read back.
    absl::Time acquired_at;
    /// Monotonic time at which the lease expires; it must not be used from then on.
    absl::Time expires_at;

    friend bool operator==(const held_lease&, const held_lease&) = default;
};

/// Leases that this node holds; immutable once published.
struct held_leases
{
    std::vector<held_lease> leases;

    /// Returns the lease of `scope` if it may be used at `now`. Call it with a fresh clock reading
    /// immediately before each order, since the thread may have been paused after an earlier check.
    std::optional<held_lease> find(const std::string& scope, absl::Time now) const;

    friend bool operator==(const held_leases&, const held_leases&) = default;
};

} // namespace chivedeal::control

#endif
