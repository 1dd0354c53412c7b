#ifndef CHIVEDEAL_FORWARD_LOCAL_STATE_HPP
#define CHIVEDEAL_FORWARD_LOCAL_STATE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_load.hpp"
#include "chivedeal/forward/part_suspicion.hpp"
#include "chivedeal/forward/usage_report.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chivedeal::forward {

/// State of this node that the forwarder publishes to peers in the node's beacon.
struct local_state
{
    bool ready = false;
    bool leaving = false;
    std::map<workspace_id, double> admitted;
    std::map<workspace_id, double> quota_levels;
    std::vector<endpoint_load> loads;
    std::map<service_id, std::int64_t> requested_prompt_tokens;
    std::vector<version_outcomes> outcomes;
    std::vector<usage_report> usage;
    std::vector<part_suspicion> suspicions;

    friend bool operator==(const local_state&, const local_state&) = default;
};

} // namespace chivedeal::forward

#endif
