#ifndef CHIVEDEAL_GUARD_SHED_COUNTS_HPP
#define CHIVEDEAL_GUARD_SHED_COUNTS_HPP

#include <cstdint>

namespace chivedeal::guard {

/// Callers' connections that were rejected or closed because a limit was reached, since the start.
struct shed_counts
{
    /// The buffers of all connections exceeded the memory budget; the connection held most.
    std::uint64_t for_memory = 0;
    /// There were too many connections.
    std::uint64_t for_connections = 0;

    friend bool operator==(const shed_counts&, const shed_counts&) = default;
};

} // namespace chivedeal::guard

#endif
