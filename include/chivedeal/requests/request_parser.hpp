#ifndef CHIVEDEAL_REQUESTS_REQUEST_PARSER_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_PARSER_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/requests/caller_request.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::forward {
struct http_request;
}

namespace chivedeal::requests {

/// Takes the body out of a request to a service. Errors: `invalid_request` for a malformed header
/// or a body that is not a JSON object of at most 64 levels.
result<caller_request> parse_caller_request(forward::http_request& http, const std::string& service,
                                            absl::Time now);

} // namespace chivedeal::requests

#endif
