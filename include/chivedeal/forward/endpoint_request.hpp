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
    std::uint64_t exchange = 0;
    endpoint_id endpoint;
    chivedeal::address address;
    /// Head and body as they go over the wire.
    std::string bytes;
    /// Answers that carry another identifier belong to an earlier request.
    request_id expected_id;
    bool is_head_request = false;
    /// Connections that this node may have to the endpoint.
    int max_connections = 1;

    friend bool operator==(const endpoint_request&, const endpoint_request&) = default;
};

} // namespace chivedeal::forward

#endif
