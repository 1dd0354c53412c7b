#ifndef CHIVEDEAL_FORWARD_CRASH_TRACKER_HPP
#define CHIVEDEAL_FORWARD_CRASH_TRACKER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_choice.hpp"
#include "chivedeal/forward/probe_result.hpp"
#include "chivedeal/forward/prompt_part.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace chivedeal::forward {

class prompt_quarantine;

/// Decides whether an endpoint crashed, and reports the prompts that it had then.
///
/// An endpoint that resets single connections still accepts new ones, and one that is cut off
/// doesn't answer. Only after a crash does its host refuse connections.
class crash_tracker
{
public:
    explicit crash_tracker(prompt_quarantine& quarantine) : m_quarantine(quarantine) {}

    /// A request's connection was lost before the response showed that the prompt is sound.
    /// Returns whether the endpoint has to be probed; false if a probe is already under way.
    bool on_request_lost(const endpoint_choice& endpoint, const std::vector<prompt_part>& prefix);

    /// Returns how many requests the endpoint had when it crashed; 0 if it didn't crash.
    std::size_t on_probed(const endpoint_id& endpoint, probe_result result, absl::Time now);

private:
    struct lost_requests
    {
        std::string incarnation;
        std::vector<std::vector<prompt_part>> prefixes;
    };

    prompt_quarantine& m_quarantine;
    absl::flat_hash_map<endpoint_id, lost_requests> m_lost;
};

} // namespace chivedeal::forward

#endif
