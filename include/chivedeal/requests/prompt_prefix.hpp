#ifndef CHIVEDEAL_REQUESTS_PROMPT_PREFIX_HPP
#define CHIVEDEAL_REQUESTS_PROMPT_PREFIX_HPP

#include "absl/strings/string_view.h"

#include <string>

namespace chivedeal::requests {

/// Returns the start of a prompt by which routing and engines name a cached prefix: at most 1,024
/// bytes, cut between UTF-8 characters so that it can be sent as JSON.
std::string prompt_prefix(absl::string_view prompt);

/// As above, of the member `prompt` of a request's body; empty when there is none.
std::string prompt_prefix_of_body(const std::string& body);

} // namespace chivedeal::requests

#endif
