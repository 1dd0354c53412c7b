#include "chivedeal/core/mechanism.hpp"

#include "absl/strings/str_split.h"

#include <cstdlib>
#include <string>

namespace chivedeal {

std::string to_string(mechanism value)
{
    switch (value) {
    case mechanism::reclaim_migration:
        return "reclaim_migration";
    case mechanism::stream_resume:
        return "stream_resume";
    case mechanism::attempt_fencing:
        return "attempt_fencing";
    case mechanism::claims:
        return "claims";
    case mechanism::leaving_facts:
        return "leaving_facts";
    case mechanism::node_drain:
        return "node_drain";
    case mechanism::stream_hand_off:
        return "stream_hand_off";
    case mechanism::read_back:
        return "read_back";
    case mechanism::peer_records:
        return "peer_records";
    case mechanism::snapshots:
        return "snapshots";
    case mechanism::signature_check:
        return "signature_check";
    case mechanism::retry_budget:
        return "retry_budget";
    case mechanism::workspace_limits:
        return "workspace_limits";
    case mechanism::priority_shedding:
        return "priority_shedding";
    case mechanism::version_rollback:
        return "version_rollback";
    case mechanism::lease_fencing:
        return "lease_fencing";
    case mechanism::suspicion:
        return "suspicion";
    case mechanism::prefix_affinity:
        return "prefix_affinity";
    }
    return "unknown_mechanism";
}

#ifdef CHIVEDEAL_MECHANISM_SWITCHES
bool is_enabled(mechanism value)
{
    // Read once: getenv is not safe beside setenv, and tests set the variable before the start.
    static const std::string disabled = [] {
        const char* text = std::getenv("CHIVEDEAL_DISABLE");
        return std::string(text == nullptr ? "" : text);
    }();
    for (const absl::string_view name : absl::StrSplit(disabled, ','))
        if (name == to_string(value))
            return false;
    return true;
}
#endif

} // namespace chivedeal
