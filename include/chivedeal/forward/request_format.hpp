#ifndef CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP
#define CHIVEDEAL_FORWARD_REQUEST_FORMAT_HPP

#include "chivedeal/forward/exchange.hpp"
#include "chivedeal/forward/header_names.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Formats a caller's request for the endpoint of the current attempt. Method, target, body and
/// end-to-end fields are unchanged; the fields reserved for the system are replaced.
std::string format_request(const exchange& active_exchange, const header_names& names,
                           absl::Time now);

/// Formats a delay in seconds, rounded up to milliseconds: a caller that returns before the end of
/// the delay is refused again.
std::string format_retry_after(absl::Duration delay);

/// Returns the IDs of the prompt parts for the log, separated by commas. The last one belongs to
/// one request and is left out.
std::string shared_part_ids(const std::vector<prompt_part>& prefix);

} // namespace chivedeal::forward

#endif
