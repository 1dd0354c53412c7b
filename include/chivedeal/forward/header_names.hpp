#ifndef CHIVEDEAL_FORWARD_HEADER_NAMES_HPP
#define CHIVEDEAL_FORWARD_HEADER_NAMES_HPP

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Names of the headers that carry meaning between callers, nodes and endpoints. The defaults are
/// our own; an adapter sets those of its platform.
struct header_names
{
    std::string request_id = "Chivedeal-Request-Id";
    std::string deadline_ms = "Chivedeal-Deadline-Ms";
    /// Prompt tokens and largest number of output tokens, separated by a comma.
    std::string token_counts = "Chivedeal-Tokens";
    /// ID:TOKENS entries, separated by commas.
    std::string prefix = "Chivedeal-Prefix";
    std::string last_event_id = "Last-Event-ID";
    std::string workspace = "Chivedeal-Workspace";
    std::string expected_endpoint = "Chivedeal-Endpoint";
    std::string priority = "Chivedeal-Priority";
    /// On an answer: the endpoint did not run the request.
    std::string not_run = "Chivedeal-Not-Run";
    /// A 2xx without this header isn't the endpoint's answer; empty when answers aren't signed.
    std::string signature;
    /// Further headers that only the system may set; dropped from callers' requests.
    std::vector<std::string> reserved;

    friend bool operator==(const header_names&, const header_names&) = default;
};

} // namespace chivedeal::forward

#endif
