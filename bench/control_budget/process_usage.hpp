#ifndef BENCH_CONTROL_BUDGET_PROCESS_USAGE_HPP
#define BENCH_CONTROL_BUDGET_PROCESS_USAGE_HPP

#include <sys/types.h>

namespace chivedeal::bench {

/// What a process has used so far, from `/proc/PID`.
struct process_usage
{
    double processor_seconds = 0;
    double resident_bytes = 0;
    /// Heap and stacks, without the mapped program and libraries.
    double anonymous_bytes = 0;
    double threads = 0;

    friend bool operator==(const process_usage&, const process_usage&) = default;
};

/// Throws `std::runtime_error` when there is no such process.
process_usage read_usage(pid_t pid);

} // namespace chivedeal::bench

#endif
