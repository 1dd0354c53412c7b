#include "chivedeal/guard/machine_limits.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>

namespace chivedeal::guard {

namespace {

constexpr int min_returned_block_bytes = 64 * 1024;

instance_limits machine_limits()
{
    instance_limits limits;
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long page_bytes = sysconf(_SC_PAGESIZE);
    if (pages > 0 && page_bytes > 0)
        limits.memory_bytes =
            static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
        limits.max_descriptors = static_cast<std::size_t>(descriptors.rlim_cur);
    return limits;
}

} // namespace

instance_limits within_machine(const instance_limits& configured)
{
    const instance_limits machine = machine_limits();
    const auto lower = [](std::size_t left, std::size_t right) {
        return left == 0 ? right : std::min(left, right);
    };
    return {.memory_bytes = lower(configured.memory_bytes, machine.memory_bytes),
            .max_descriptors = lower(configured.max_descriptors, machine.max_descriptors)};
}

void return_freed_memory() { mallopt(M_MMAP_THRESHOLD, min_returned_block_bytes); }

} // namespace chivedeal::guard
