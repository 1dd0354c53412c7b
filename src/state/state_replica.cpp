#include "chivedeal/state/state_replica.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "chivedeal/state/stream_name.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::state {

state_replica::state_replica(state_machine_options options, std::size_t max_buffered_records)
    : m_machine(std::move(options)), m_max_buffered_records(max_buffered_records)
{}

replica_update state_replica::apply_batch(const log_batch& batch)
{
    replica_update update;
    if (batch.stream == claims_stream)
        apply_claims_batch(batch, update);
    else
        apply_control_batch(batch, update);
    return update;
}

replica_update state_replica::apply_peer_records(const std::vector<log_entry>& entries)
{
    replica_update update;
    for (const log_entry& entry : entries) {
        if (entry.offset > m_machine.applied_offset(control_stream) + 1)
            break;
        apply_entry(control_stream, entry, update);
    }
    return update;
}

result<replica_update> state_replica::apply_snapshot(const std::string& data)
{
    replica_update update;
    if (!adopt(data, update))
        return error{.code = result_code::snapshot_invalid,
                     .message =
                         "the snapshot can't be decoded or is not newer than the applied state"};
    apply_buffered_control(update);
    mark_ready(update);
    return update;
}

void state_replica::apply_control_batch(const log_batch& batch, replica_update& update)
{
    const std::uint64_t applied = m_machine.applied_offset(control_stream);
    if (batch.first > applied + 1) {
        m_needs_snapshot = true;
        buffer_entries(m_buffered_control, batch);
        for (const log_entry& entry : batch.entries)
            if (const auto decoded = decode_record(entry.data); is_ok(decoded))
                process_snapshot_chunk(get_value(decoded), update);
        if (m_needs_snapshot)
            return;
        apply_buffered_control(update);
        if (m_machine.applied_offset(control_stream) + 1 >= batch.next)
            mark_ready(update);
        return;
    }
    m_needs_snapshot = false;
    // After a restart of the keeper the ring may still hold batches with higher offsets.
    if (!batch.entries.empty() && batch.entries.front().offset > applied + 1) {
        update.reread_control_from = applied + 1;
        return;
    }
    for (const log_entry& entry : batch.entries)
        apply_entry(control_stream, entry, update);
    if (m_machine.applied_offset(control_stream) + 1 >= batch.next)
        mark_ready(update);
}

void state_replica::apply_claims_batch(const log_batch& batch, replica_update& update)
{
    // Buffer claims until a snapshot provides the earlier ones.
    if (!m_ready) {
        buffer_entries(m_buffered_claims, batch);
        return;
    }
    const std::uint64_t applied = m_machine.applied_offset(claims_stream);
    const bool gap = !batch.entries.empty() && batch.entries.front().offset > applied + 1;
    if (gap && batch.first <= applied + 1) {
        update.reread_claims_from = applied + 1;
        return;
    }
    // A gap due to truncation is harmless: truncated claims are older than the claim window.
    for (const log_entry& entry : batch.entries)
        apply_entry(claims_stream, entry, update);
}

void state_replica::apply_entry(const std::string& stream, const log_entry& entry,
                                replica_update& update)
{
    if (entry.offset <= m_machine.applied_offset(stream))
        return;
    if (stream == control_stream)
        update.control_entries.push_back(entry);
    auto decoded = decode_record(entry.data);
    if (!is_ok(decoded)) {
        m_machine.skip(stream, entry.offset);
        update.undecodable_offsets.push_back(entry.offset);
        return;
    }
    record value = take_value(std::move(decoded));
    auto effect = m_machine.apply(stream, value, entry.offset);
    if (std::holds_alternative<snapshot_chunk>(value.body)) {
        process_snapshot_chunk(value, update);
        return;
    }
    if (stream == control_stream)
        m_progress.record_bytes += entry.data.size();
    if (effect)
        update.applied.push_back({.stream = stream,
                                  .offset = entry.offset,
                                  .entry = std::move(value),
                                  .effect = std::move(*effect)});
}

void state_replica::process_snapshot_chunk(const record& entry, replica_update& update)
{
    const auto* chunk = std::get_if<snapshot_chunk>(&entry.body);
    if (chunk == nullptr || !is_enabled(mechanism::snapshots))
        return;
    const auto data = m_assembler.add(entry.change, *chunk);
    if (!data)
        return;
    m_progress = {.snapshots_seen = m_progress.snapshots_seen + 1,
                  .snapshot_bytes = data->size(),
                  .record_bytes = 0};
    if (m_needs_snapshot && chunk->covered_offset > m_machine.applied_offset(control_stream))
        (void)adopt(*data, update);
}

bool state_replica::adopt(const std::string& data, replica_update& update)
{
    if (!is_enabled(mechanism::snapshots))
        return false;
    const auto decoded = decode_snapshot(data);
    if (!is_ok(decoded) || !m_machine.adopt(get_value(decoded)))
        return false;
    m_needs_snapshot = false;
    update.adopted_offset = m_machine.applied_offset(control_stream);
    return true;
}

void state_replica::apply_buffered_control(replica_update& update)
{
    const buffered_records buffer = std::exchange(m_buffered_control, {});
    const std::uint64_t next = m_machine.applied_offset(control_stream) + 1;
    if (buffer.incomplete || (!buffer.entries.empty() && buffer.entries.front().offset > next)) {
        update.reread_control_from = next;
        return;
    }
    for (const log_entry& entry : buffer.entries)
        apply_entry(control_stream, entry, update);
}

void state_replica::mark_ready(replica_update& update)
{
    m_ready = true;
    const buffered_records buffer = std::exchange(m_buffered_claims, {});
    if (buffer.incomplete) {
        update.reread_claims_from = m_machine.applied_offset(claims_stream) + 1;
        return;
    }
    for (const log_entry& entry : buffer.entries)
        apply_entry(claims_stream, entry, update);
}

void state_replica::buffer_entries(buffered_records& buffer, const log_batch& batch)
{
    if (batch.entries.empty() || buffer.incomplete)
        return;
    const std::uint64_t next =
        buffer.entries.empty() ? std::max(m_machine.applied_offset(batch.stream) + 1, batch.first)
                               : buffer.entries.back().offset + 1;
    if (batch.entries.front().offset > next ||
        buffer.entries.size() + batch.entries.size() > m_max_buffered_records) {
        buffer = {.entries = {}, .incomplete = true};
        return;
    }
    for (const log_entry& entry : batch.entries)
        if (buffer.entries.empty() || entry.offset > buffer.entries.back().offset)
            buffer.entries.push_back(entry);
}

} // namespace chivedeal::state
