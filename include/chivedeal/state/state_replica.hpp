#ifndef CHIVEDEAL_STATE_STATE_REPLICA_HPP
#define CHIVEDEAL_STATE_STATE_REPLICA_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/state/log_batch.hpp"
#include "chivedeal/state/log_progress.hpp"
#include "chivedeal/state/replica_update.hpp"
#include "chivedeal/state/snapshot_assembler.hpp"
#include "chivedeal/state/state_machine.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Applies log batches, records from peers and snapshots to a state machine.
///
/// Buffers records that follow a gap until a snapshot closes it, and determines the offset from
/// which the log must be read again.
class state_replica
{
public:
    /// `max_buffered_records` limits the records of each stream that are buffered until a snapshot
    /// is available.
    explicit state_replica(state_machine_options options,
                           std::size_t max_buffered_records = 50'000);

    replica_update apply_batch(const log_batch& batch);

    /// Applies records of the control stream from a peer; stops at the first gap.
    replica_update apply_peer_records(const std::vector<log_entry>& entries);

    /// Replaces the state by an encoded snapshot. Fails with `snapshot_invalid` if the snapshot can't
    /// be decoded or is not above the applied offset.
    result<replica_update> apply_snapshot(const std::string& data);

    /// Returns true once the state has caught up with the log or a snapshot from a peer has been
    /// applied.
    bool ready() const { return m_ready; }

    /// Returns true if the log has truncated the next record to apply.
    bool needs_snapshot() const { return m_needs_snapshot; }

    const log_progress& progress() const { return m_progress; }
    state_machine& machine() { return m_machine; }
    const state_machine& machine() const { return m_machine; }

private:
    struct buffered_records
    {
        std::vector<log_entry> entries;
        /// Set if records were dropped; the log is then read again.
        bool incomplete = false;
    };

    void apply_control_batch(const log_batch& batch, replica_update& update);
    void apply_claims_batch(const log_batch& batch, replica_update& update);
    void apply_entry(const std::string& stream, const log_entry& entry, replica_update& update);
    void process_snapshot_chunk(const record& entry, replica_update& update);
    bool adopt(const std::string& data, replica_update& update);
    void apply_buffered_control(replica_update& update);
    void mark_ready(replica_update& update);
    void buffer_entries(buffered_records& buffer, const log_batch& batch);

    state_machine m_machine;
    std::size_t m_max_buffered_records;
    snapshot_assembler m_assembler;
    log_progress m_progress;
    buffered_records m_buffered_control;
    buffered_records m_buffered_claims;
    bool m_ready = false;
    bool m_needs_snapshot = false;
};

} // namespace chivedeal::state

#endif
