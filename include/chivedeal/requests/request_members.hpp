#ifndef CHIVEDEAL_REQUESTS_REQUEST_MEMBERS_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_MEMBERS_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace chivedeal::requests {

/// The members of a request's body that routing depends on; empty or 0 if they are absent or of
/// another type.
struct request_members
{
    std::string route;
    std::uint64_t max_tokens = 0;
    /// Start of the prompt, see `prompt_prefix`.
    std::string prefix;

    friend bool operator==(const request_members&, const request_members&) = default;
};

/// Reads a body without building its values, which can take 30 times the memory of the text.
/// Returns nothing if the body is not a JSON object, or has more than 64 levels.
std::optional<request_members> read_request_members(const std::string& body);

} // namespace chivedeal::requests

#endif
