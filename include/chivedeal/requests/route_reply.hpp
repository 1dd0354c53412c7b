#ifndef CHIVEDEAL_REQUESTS_ROUTE_REPLY_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_REPLY_HPP

#include <string>

namespace chivedeal::requests {

/// The response to a `route_call`.
struct route_reply
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body;

    friend bool operator==(const route_reply&, const route_reply&) = default;
};

} // namespace chivedeal::requests

#endif
