#ifndef CHIVEDEAL_STATE_SNAPSHOT_DATA_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_DATA_HPP

#include "chivedeal/state/remembered_change.hpp"
#include "chivedeal/state/stored_claim.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace chivedeal::state {

struct cluster_state;

/// Complete state of a state machine; restoring it is equivalent to replaying every record.
struct snapshot_data
{
    /// Never null.
    std::shared_ptr<const cluster_state> control;
    /// Oldest first.
    std::vector<remembered_change> control_changes;
    std::uint64_t claims_offset = 0;
    /// In offset order.
    std::vector<stored_claim> claims;
    std::vector<remembered_change> claims_changes;
};

} // namespace chivedeal::state

#endif
