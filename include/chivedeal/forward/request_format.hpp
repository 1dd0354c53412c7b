#ifndef CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP
#define CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP

#include "chivedeal/forward/exchange.hpp"
#include "chivedeal/forward/header_names.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::forward {

/// Formats a caller's request for the endpoint of the current attempt. Method, target, body and
/// end-to-end fields are unchanged; the fields reserved for the system are replaced.
std::string format_request(const exchange& active_exchange, const header_names& names,
                           absl::Time now);

} // namespace chivedeal::forward

#endif
