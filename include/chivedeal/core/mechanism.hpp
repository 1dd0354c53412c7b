#ifndef CHIVEDEAL_CORE_MECHANISM_HPP
#define CHIVEDEAL_CORE_MECHANISM_HPP

#include <string>

namespace chivedeal {

/// Mechanisms that a scenario can switch off to show that it detects their absence.
enum class mechanism
{
    reclaim_migration,
    stream_resume,
    attempt_fencing,
    claims,
    leaving_facts,
    node_drain,
    stream_hand_off,
    read_back,
    peer_records,
    snapshots,
    signature_check,
    retry_budget,
    workspace_limits,
    priority_shedding,
    version_rollback,
    lease_fencing,
    suspicion,
    prefix_affinity,
};

/// Returns the name that `CHIVEDEAL_DISABLE` uses.
std::string to_string(mechanism value);

#ifdef CHIVEDEAL_MECHANISM_SWITCHES
/// False when the comma-separated environment variable `CHIVEDEAL_DISABLE` names the mechanism.
bool is_enabled(mechanism value);
#else
constexpr bool is_enabled(mechanism /*value*/) { return true; }
#endif

} // namespace chivedeal

#endif
