#ifndef CHIVEDEAL_REQUESTS_REQUEST_TARGET_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_TARGET_HPP

#include <map>
#include <string>
#include <string_view>

namespace chivedeal::requests {

/// Path and query parameters of a request target (RFC 9112, section 3.2.1), percent-decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string> parameters;

    friend bool operator==(const request_target&, const request_target&) = default;
};

request_target parse_request_target(std::string_view target);

} // namespace chivedeal::requests

#endif
