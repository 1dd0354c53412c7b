#include "chivedeal/guard/connection_limits.hpp"

#include <algorithm>

namespace chivedeal::guard {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// Memory of the process without requests (13 MB at the start) and of the control plane at 390 nodes
// and 1,800 endpoints (at most 32 MB).
constexpr std::size_t fixed_memory_bytes = 48 * mebibyte;
// Smaller instances than those the fixed part was measured for still serve requests.
constexpr std::size_t min_buffer_share_divisor = 4;
// The platform reserves these for files.
constexpr std::size_t reserved_descriptors = 200;
// A body of 4 MB then takes 0.5 s over a round trip of 2.8 ms, between zones of a region.
constexpr int receive_buffer_bytes = 24 * 1024;
// The kernel allows twice the buffer size for the overhead of its own structures.
constexpr std::size_t kernel_bytes_per_caller = 2 * std::size_t{receive_buffer_bytes};
constexpr int send_buffer_bytes = 128 * 1024;
constexpr std::size_t max_buffered_response_bytes = 64 * mebibyte;
constexpr std::size_t min_connections = 16;

} // namespace

connection_limits divide_instance(const instance_limits& instance)
{
    const std::size_t variable_bytes =
        instance.memory_bytes > fixed_memory_bytes ? instance.memory_bytes - fixed_memory_bytes : 0;
    // The other half is for the unread input in the kernel.
    const std::size_t buffer_bytes =
        std::max(variable_bytes / 2, instance.memory_bytes / min_buffer_share_divisor);
    const std::size_t descriptors = instance.max_descriptors > reserved_descriptors
                                        ? instance.max_descriptors - reserved_descriptors
                                        : 0;
    const std::size_t for_endpoints = descriptors / 4;
    return {.buffer_bytes = buffer_bytes,
            // Bodies of requests need the rest.
            .max_buffered_response_bytes = std::min(max_buffered_response_bytes, buffer_bytes / 2),
            .max_callers =
                std::max(min_connections, std::min(buffer_bytes / kernel_bytes_per_caller,
                                                   descriptors - for_endpoints)),
            .max_endpoint_connections = std::max(min_connections, for_endpoints),
            .receive_buffer_bytes = receive_buffer_bytes,
            .send_buffer_bytes = send_buffer_bytes};
}

} // namespace chivedeal::guard
