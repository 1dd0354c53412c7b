#ifndef CHIVEDEAL_REQUESTS_ROUTE_CALL_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_CALL_HPP

#include <map>
#include <string>

namespace chivedeal::requests {

/// A request to one of the interfaces on the callers' listener, without its percent-encoding.
struct route_call
{
    std::string method;
    /// Without the query.
    std::string path;
    std::map<std::string, std::string> parameters;
    std::string body;

    friend bool operator==(const route_call&, const route_call&) = default;
};

} // namespace chivedeal::requests

#endif
