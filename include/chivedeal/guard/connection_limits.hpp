#ifndef CHIVEDEAL_GUARD_CONNECTION_LIMITS_HPP
#define CHIVEDEAL_GUARD_CONNECTION_LIMITS_HPP

#include "chivedeal/guard/instance_limits.hpp"

#include <cstddef>

namespace chivedeal::guard {

/// Limits on the connections of all callers and endpoints together.
struct connection_limits
{
    /// Limit on the buffers of all callers' connections, with the requests and responses that are
    /// in progress on them.
    std::size_t buffer_bytes = 0;
    /// Limit on the part of them that holds responses until they are complete.
    std::size_t max_buffered_response_bytes = 0;
    std::size_t max_callers = 0;
    std::size_t max_endpoint_connections = 0;
    /// Kernel buffers of one caller's connection, as passed to the socket options.
    int receive_buffer_bytes = 0;
    int send_buffer_bytes = 0;

    friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

/// Divides the memory and the descriptors of an instance.
connection_limits divide_instance(const instance_limits& instance);

} // namespace chivedeal::guard

#endif
