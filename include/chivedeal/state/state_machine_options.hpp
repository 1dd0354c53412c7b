#ifndef CHIVEDEAL_STATE_STATE_MACHINE_OPTIONS_HPP
#define CHIVEDEAL_STATE_STATE_MACHINE_OPTIONS_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/claim_table_options.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace chivedeal::state {

/// Options of a state machine. Must be the same on every node, or their states diverge.
struct state_machine_options
{
    std::map<team_id, std::string> team_keys;
    /// Number of recent change IDs of the control stream kept to detect duplicates, 32 bytes each.
    /// Duplicates arrive within seconds; renewals of a few leases add about 3 records per second,
    /// so this covers over an hour.
    std::size_t control_changes = 16'384;
    /// Number of recent change IDs of the claims stream kept to detect duplicates.
    std::size_t claims_changes = 32'768;
    claim_table_options claims;
};

} // namespace chivedeal::state

#endif
