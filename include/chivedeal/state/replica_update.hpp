#ifndef CHIVEDEAL_STATE_REPLICA_UPDATE_HPP
#define CHIVEDEAL_STATE_REPLICA_UPDATE_HPP

#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/log_entry.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivedeal::state {

/// What an event changed in a state replica.
struct replica_update
{
    /// In offset order of each stream; repeats are left out.
    std::vector<applied_record> applied;
    /// Raw records of the control stream that were passed, for peers.
    std::vector<log_entry> control_entries;
    /// Offsets of control records that could not be decoded.
    std::vector<std::uint64_t> undecodable_offsets;
    /// Set when a snapshot was adopted.
    std::optional<std::uint64_t> adopted_offset;
    /// Where a reader has to go on, when not after what it read.
    std::optional<std::uint64_t> reread_control_from;
    std::optional<std::uint64_t> reread_claims_from;
};

} // namespace chivedeal::state

#endif
