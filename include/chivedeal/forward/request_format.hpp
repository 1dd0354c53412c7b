#ifndef CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP
#define CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP

#include "chivedeal/forward/exchange.hpp"
#include "chivedeal/forward/header_names.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::forward {

/// Formats a caller's request for the endpoint of the attempt under way: method, path, body and
/// end-to-end fields unchanged, the system's own fields set anew.
std::string format_request(const exchange& one, const header_names& names, absl::Time now);

} // namespace chivedeal::forward

#endif
