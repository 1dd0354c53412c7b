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

/// Decides what a node does with log batches, peers' records and snapshots: what is applied, what
/// waits for a snapshot and where reading goes on.
class state_replica
{
public:
    /// `max_buffered_records` bounds the records of each stream that wait for a snapshot.
    explicit state_replica(state_machine_options options,
                           std::size_t max_buffered_records = 50'000);

    replica_update apply_batch(const log_batch& batch);

    /// Records of the control stream from a peer.
    replica_update apply_peer_records(const std::vector<log_entry>& entries);

    /// `snapshot_invalid` when it is damaged or not above the applied offset.
    result<replica_update> apply_snapshot(const std::string& data);

    /// Whether the state once was as new as the log, or came from a peer.
    bool ready() const { return m_ready; }

    /// Whether the log no longer keeps the next record.
    bool needs_snapshot() const { return m_needs_snapshot; }

    const log_progress& progress() const { return m_progress; }
    state_machine& machine() { return m_machine; }
    const state_machine& machine() const { return m_machine; }

private:
    struct buffered_records
    {
        std::vector<log_entry> entries;
        /// Set when some were dropped: all are read again.
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
