#ifndef CHIVEDEAL_FORWARD_HEADER_NAMES_HPP
#define CHIVEDEAL_FORWARD_HEADER_NAMES_HPP

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Names of the HTTP headers that callers, nodes and endpoints exchange. A platform adapter
/// replaces the defaults by the names of its platform.
struct header_names
{
    std::string request_id = "Chivedeal-Request-Id";
    std::string deadline_ms = "Chivedeal-Deadline-Ms";
    /// Prompt tokens and maximum number of output tokens, separated by a comma.
    std::string token_counts = "Chivedeal-Tokens";
    /// Parts of the prompt in order, as ID:TOKENS entries separated by commas.
    std::string prefix = "Chivedeal-Prefix";
    std::string last_event_id = "Last-Event-ID";
    std::string workspace = "Chivedeal-Workspace";
    std::string expected_endpoint = "Chivedeal-Endpoint";
    std::string priority = "Chivedeal-Priority";
    /// Response header that states that the endpoint did not run the request.
    std::string not_run = "Chivedeal-Not-Run";
    /// Response header with the value 1 by which an endpoint announces that it is leaving.
    std::string leaving = "Chivedeal-Leaving";
    /// Response header with the milliseconds for which the endpoint remains cold.
    std::string cold_ms = "Chivedeal-Cold-Ms";
    /// Response header with the endpoint's load: running and waiting requests, slots and, on some
    /// services, how long work takes now in percent of the usual time, separated by commas.
    std::string endpoint_load = "Chivedeal-Load";
    /// A 2xx response without this header did not come from the endpoint. Empty if responses aren't
    /// signed.
    std::string signature;
    /// Further headers that only the system may set. They are removed from callers' requests.
    std::vector<std::string> reserved;

    friend bool operator==(const header_names&, const header_names&) = default;
};

} // namespace chivedeal::forward

#endif
