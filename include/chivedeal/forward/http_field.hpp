#ifndef CHIVEDEAL_FORWARD_HTTP_FIELD_HPP
#define CHIVEDEAL_FORWARD_HTTP_FIELD_HPP

#include <string>

namespace chivedeal::forward {

/// One header field as it was received.
struct http_field
{
    std::string name;
    std::string value;

    friend bool operator==(const http_field&, const http_field&) = default;
};

} // namespace chivedeal::forward

#endif
