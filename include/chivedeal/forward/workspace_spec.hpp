#ifndef CHIVEDEAL_FORWARD_WORKSPACE_SPEC_HPP
#define CHIVEDEAL_FORWARD_WORKSPACE_SPEC_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// A workspace's keys and its limit over all nodes together.
struct workspace_spec
{
    workspace_id name;
    std::vector<std::string> keys;
    /// Goes before the route's priority.
    std::optional<int> priority;
    /// Whether `rate` and `burst` count tokens instead of requests.
    bool counts_tokens = false;
    /// Tokens that a request without token counts costs.
    std::int64_t plain_tokens = 1;
    /// For each second; 0 means no limit.
    double rate = 0;
    double burst = 0;

    friend bool operator==(const workspace_spec&, const workspace_spec&) = default;
};

} // namespace chivedeal::forward

#endif
