#ifndef CHIVEDEAL_STATE_STATE_MACHINE_OPTIONS_HPP
#define CHIVEDEAL_STATE_STATE_MACHINE_OPTIONS_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/claim_table_options.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace chivedeal::state {

/// Must be the same on every node.
struct state_machine_options
{
    std::map<team_id, std::string> team_keys;
    /// Change IDs remembered of the control stream, 32 bytes each. A record is repeated within
    /// seconds; renewals of a few leases add about 3 a second, so this covers over an hour.
    std::size_t control_changes = 16'384;
    /// Change IDs remembered of the claims stream.
    std::size_t claims_changes = 32'768;
    claim_table_options claims;
};

} // namespace chivedeal::state

#endif
