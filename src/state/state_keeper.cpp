#include "chivedeal/state/state_keeper.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/membership/peer_client.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/published_state.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "chivedeal/state/state_listener.hpp"
#include "chivedeal/state/stream_name.hpp"

#include "absl/strings/str_cat.h"

#include <utility>
#include <variant>

namespace chivedeal::state {

namespace {

// Returns the ready peer with the highest applied offset above `applied`, or null.
const membership::node_record* best_peer(const membership::membership_view& view,
                                         std::uint64_t applied)
{
    const membership::node_record* best = nullptr;
    for (const membership::node_record& node : view.nodes) {
        const bool usable = node.id != view.self && node.ready && node.applied_offset > applied &&
                            node.status != membership::node_status::dead;
        if (usable && (best == nullptr || node.applied_offset > best->applied_offset))
            best = &node;
    }
    return best;
}

void log_applied(const applied_record& applied)
{
    const auto* change = std::get_if<declaration_change>(&applied.entry.body);
    if (change == nullptr)
        return;
    const bool accepted = applied.effect.code == result_code::ok;
    log_event(accepted ? event_id::change_accepted : event_id::change_rejected,
              {{"change", applied.entry.change.str()},
               {"path", change->path},
               {"offset", absl::StrCat(applied.offset)},
               {"reason", to_string(applied.effect)}});
}

} // namespace

state_keeper::state_keeper(options wiring)
    : m_options(std::move(wiring)), m_replica(m_options.machine)
{}

void state_keeper::run()
{
    restore();
    while (true) {
        const auto event = m_options.inbox.pop(m_options.peer_retry_interval);
        if (!event && m_options.inbox.closed())
            return;
        if (event)
            handle(*event);
        fetch_from_peer();
    }
}

void state_keeper::request_stop() { m_options.inbox.close(); }

void state_keeper::restore()
{
    // A keeper restarted after a failure restores the snapshot and the records stored for peers.
    // Both are applied before publishing, since the published state must not go back.
    if (const auto stored = m_options.published.snapshot(); is_ok(stored)) {
        if (auto update = m_replica.apply_snapshot(get_value(stored)); is_ok(update)) {
            auto restored = take_value(std::move(update));
            const auto tail = stored_tail();
            const replica_update tail_update = m_replica.apply_peer_records(tail);
            restored.control_entries = tail_update.control_entries;
            restored.applied.insert(restored.applied.end(), tail_update.applied.begin(),
                                    tail_update.applied.end());
            publish_update(restored, "restart");
        }
    }
    const state_machine& machine = m_replica.machine();
    m_options.published.control_position().move_to(machine.applied_offset(control_stream) + 1);
    m_options.published.claims_position().move_to(machine.applied_offset(claims_stream) + 1);
}

std::vector<log_entry> state_keeper::stored_tail() const
{
    std::vector<log_entry> tail;
    std::uint64_t next = m_replica.machine().applied_offset(control_stream) + 1;
    while (true) {
        const auto records = m_options.published.records_from(next);
        if (!is_ok(records) || get_value(records).empty())
            return tail;
        tail.insert(tail.end(), get_value(records).begin(), get_value(records).end());
        next = tail.back().offset + 1;
    }
}

void state_keeper::handle(const keeper_event& event)
{
    if (const auto* view =
            std::get_if<std::shared_ptr<const membership::membership_view>>(&event)) {
        m_membership = *view;
        return;
    }
    if (const auto* failure = std::get_if<log_failure>(&event)) {
        update_log_reachability(failure->stream, false, to_string(failure->reason));
        return;
    }
    const auto& batch = std::get<log_batch>(event);
    update_log_reachability(batch.stream, true, {});
    publish_update(m_replica.apply_batch(batch), "log");
}

void state_keeper::update_log_reachability(const std::string& stream, bool reachable,
                                           const std::string& reason)
{
    if (stream != control_stream || reachable == m_control_reachable)
        return;
    m_control_reachable = reachable;
    if (reachable)
        log_event(event_id::log_recovered, {});
    else
        log_event(event_id::log_unreachable, {{"reason", reason}});
}

void state_keeper::fetch_from_peer()
{
    const bool needed = !m_control_reachable || m_replica.needs_snapshot();
    const absl::Time now = m_options.time.now();
    if (!needed || !m_membership || m_options.peers == nullptr || now < m_next_peer_attempt ||
        !is_enabled(mechanism::peer_records))
        return;
    const std::uint64_t applied = m_replica.machine().applied_offset(control_stream);
    const membership::node_record* peer = best_peer(*m_membership, applied);
    if (peer == nullptr)
        return;
    m_next_peer_attempt = now + m_options.peer_retry_interval;
    if (!m_replica.ready()) {
        fetch_snapshot_from(*peer);
        return;
    }
    const auto records = m_options.peers->records_from(peer->rpc, applied + 1);
    if (is_ok(records) && !get_value(records).empty() &&
        get_value(records).front().offset <= applied + 1) {
        log_event(event_id::records_fetched_from_peer,
                  {{"peer", peer->id.str()}, {"count", absl::StrCat(get_value(records).size())}});
        publish_update(m_replica.apply_peer_records(get_value(records)), "peer");
        return;
    }
    // The peer responds but no longer keeps the next record.
    if (is_ok(records) || get_error(records).code == result_code::log_truncated ||
        get_error(records).code == result_code::peer_refused)
        fetch_snapshot_from(*peer);
}

void state_keeper::fetch_snapshot_from(const membership::node_record& peer)
{
    if (!is_enabled(mechanism::snapshots))
        return;
    const auto data = m_options.peers->snapshot(peer.rpc);
    if (!is_ok(data))
        return;
    if (const auto update = m_replica.apply_snapshot(get_value(data)); is_ok(update)) {
        publish_update(get_value(update), peer.id.str());
        // The snapshot may be older than the peer's newest record: fetch the rest without delay.
        m_next_peer_attempt = absl::InfinitePast();
    }
}

void state_keeper::publish_update(const replica_update& update, const std::string& source)
{
    state_machine& machine = m_replica.machine();
    published_state& published = m_options.published;
    if (update.adopted_offset)
        log_event(event_id::snapshot_adopted,
                  {{"offset", absl::StrCat(*update.adopted_offset)}, {"source", source}});
    for (const std::uint64_t offset : update.undecodable_offsets)
        log_event(event_id::record_ignored, {{"offset", absl::StrCat(offset)}});
    if (update.adopted_offset || update.reread_control_from || source != "log")
        published.control_position().move_to(
            update.reread_control_from.value_or(machine.applied_offset(control_stream) + 1));
    if (update.adopted_offset || update.reread_claims_from)
        published.claims_position().move_to(machine.applied_offset(claims_stream) + 1);

    const auto previous_state = published.state();
    const auto state = machine.publish();
    const bool became_ready = m_replica.ready() && !published.ready();
    published.add_records(update.control_entries);
    published.publish(state, m_replica.ready(), m_replica.progress());
    if (m_replica.ready() && published.snapshot_due() && state->applied_offset > 0)
        published.store_snapshot(encode_snapshot(machine.export_snapshot()));
    if (update.adopted_offset)
        notify_claims_restored();
    for (const applied_record& applied : update.applied) {
        if (!published.mark_notified(applied.stream, applied.offset))
            continue;
        log_applied(applied);
        for (state_listener* listener : m_options.listeners)
            listener->on_applied(applied);
    }
    if (state != previous_state)
        for (state_listener* listener : m_options.listeners)
            listener->on_state(state);
    if (became_ready)
        log_event(event_id::node_ready, {{"offset", absl::StrCat(state->applied_offset)}});
}

void state_keeper::notify_claims_restored()
{
    std::vector<claim_entry> claims;
    for (const stored_claim& stored : m_replica.machine().claims().contents())
        claims.push_back(stored.entry);
    for (state_listener* listener : m_options.listeners)
        listener->on_claims_restored(claims);
}

} // namespace chivedeal::state
