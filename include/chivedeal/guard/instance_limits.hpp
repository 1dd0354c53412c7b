#ifndef CHIVEDEAL_GUARD_INSTANCE_LIMITS_HPP
#define CHIVEDEAL_GUARD_INSTANCE_LIMITS_HPP

#include <cstddef>

namespace chivedeal::guard {

/// What the instance grants the process. A process over its memory is killed.
struct instance_limits
{
    std::size_t memory_bytes = std::size_t{512} * 1024 * 1024;
    std::size_t max_descriptors = 4096;

    friend bool operator==(const instance_limits&, const instance_limits&) = default;
};

} // namespace chivedeal::guard

#endif
