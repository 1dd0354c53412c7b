#ifndef CHIVEDEAL_FORWARD_HTTP_RESPONSE_HEAD_HPP
#define CHIVEDEAL_FORWARD_HTTP_RESPONSE_HEAD_HPP

#include "chivedeal/forward/http_field.hpp"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Status and header fields of a response.
struct http_response_head
{
    int status = 0;
    std::vector<http_field> fields;
    /// The body has neither a length nor chunks and ends with the connection.
    bool ends_with_connection = false;
    /// The response can't belong to an earlier request on the same connection.
    bool is_attributed = true;

    friend bool operator==(const http_response_head&, const http_response_head&) = default;
};

} // namespace chivedeal::forward

#endif
