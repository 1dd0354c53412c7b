#ifndef CHIVEDEAL_GUARD_SHED_COUNTS_HPP
#define CHIVEDEAL_GUARD_SHED_COUNTS_HPP

#include <cstdint>

namespace chivedeal::guard {

/// What was given up because a limit was reached, since the start.
struct shed_counts
{
    /// Requests in progress that can't be sent to another endpoint any more.
    std::uint64_t retries = 0;
    /// Connections that were rejected or closed because the buffers exceeded the memory budget.
    std::uint64_t for_memory = 0;
    /// Connections that were closed because there were too many.
    std::uint64_t for_connections = 0;

    friend bool operator==(const shed_counts&, const shed_counts&) = default;
};

} // namespace chivedeal::guard

#endif
