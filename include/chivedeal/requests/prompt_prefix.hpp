#ifndef CHIVEDEAL_REQUESTS_PROMPT_PREFIX_HPP
#define CHIVEDEAL_REQUESTS_PROMPT_PREFIX_HPP

#include "absl/strings/string_view.h"

#include <string>

namespace chivedeal::requests {

/// Returns the start of a prompt, by which routing and engines identify a cached prefix: at most
/// 1,024 bytes, cut at a UTF-8 character boundary so that it can be sent as JSON.
std::string prompt_prefix(absl::string_view prompt);

/// Same for the member `prompt` of a JSON request body; empty when there is none.
std::string prompt_prefix_of_body(const std::string& body);

} // namespace chivedeal::requests

#endif
