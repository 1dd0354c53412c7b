#ifndef CHIVEDEAL_FORWARD_WORKSPACE_SPEC_HPP
#define CHIVEDEAL_FORWARD_WORKSPACE_SPEC_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// A workspace's API keys, and its rate limit over all nodes together.
struct workspace_spec
{
    workspace_id name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// Whether `rate` and `burst` count tokens instead of requests.
    bool counts_tokens = false;
    /// Cost in tokens of a request without token counts.
    std::int64_t default_cost_tokens = 1;
    /// Requests or tokens per second; 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// The workspace's requests are sent only to endpoints in these regions.
    regions::home_regions homes;

    friend bool operator==(const workspace_spec&, const workspace_spec&) = default;
};

} // namespace chivedeal::forward

#endif
