#ifndef CHIVEDEAL_GUARD_MACHINE_LIMITS_HPP
#define CHIVEDEAL_GUARD_MACHINE_LIMITS_HPP

#include "chivedeal/guard/instance_limits.hpp"

namespace chivedeal::guard {

/// Returns the limits of the machine where `configured` names none (0), or higher ones.
instance_limits within_machine(const instance_limits& configured);

/// Lets the allocator return freed blocks from 64 KB on to the kernel. By default it raises this
/// size up to 32 MB, and freed bodies stay in the memory of the process. To be called before
/// threads are started.
void return_freed_memory();

} // namespace chivedeal::guard

#endif
