#ifndef CHIVEDEAL_FORWARD_HTTP_REQUEST_HPP
#define CHIVEDEAL_FORWARD_HTTP_REQUEST_HPP

#include "chivedeal/forward/http_field.hpp"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// A complete request as a caller sent it; the body is decoded from its transfer coding.
struct http_request
{
    std::string method;
    std::string target;
    std::vector<http_field> fields;
    std::string body;
    bool keep_alive = true;

    friend bool operator==(const http_request&, const http_request&) = default;
};

} // namespace chivedeal::forward

#endif
