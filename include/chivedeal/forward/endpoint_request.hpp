#ifndef CHIVEDEAL_FORWARD_ENDPOINT_REQUEST_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_REQUEST_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::forward {

/// A request to be sent to one endpoint.
struct endpoint_request
{
    std::uint64_t exchange_id = 0;
    endpoint_id endpoint;
    chivedeal::address address;
    /// Serialized head and body.
    std::string bytes;
    /// A response with another request identifier belongs to an earlier request.
    request_id expected_id;
    bool is_head_request = false;
    /// Limit on this node's connections to the endpoint.
    int max_connections = 1;

    friend bool operator==(const endpoint_request&, const endpoint_request&) = default;
};

} // namespace chivedeal::forward

#endif
