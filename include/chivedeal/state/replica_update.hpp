#ifndef CHIVEDEAL_STATE_REPLICA_UPDATE_HPP
#define CHIVEDEAL_STATE_REPLICA_UPDATE_HPP

#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/log_entry.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivedeal::state {

/// Result of applying a batch, records from a peer or a snapshot to a state replica.
struct replica_update
{
    /// Applied records in the offset order of each stream, without duplicates.
    std::vector<applied_record> applied;
    /// Raw records of the control stream that were processed, for serving peers. Includes records
    /// that were rejected or can't be decoded.
    std::vector<log_entry> control_entries;
    /// Offsets of records that can't be decoded.
    std::vector<std::uint64_t> undecodable_offsets;
    /// Applied control offset of the snapshot, if one was adopted.
    std::optional<std::uint64_t> adopted_offset;
    /// Offset at which the reader of the stream must continue if not after the last read record.
    std::optional<std::uint64_t> reread_control_from;
    std::optional<std::uint64_t> reread_claims_from;
};

} // namespace chivedeal::state

#endif
