#include "chivedeal/forward/endpoint_watcher.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/batch_sender.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::size_t max_queued_batches = 64;
// Limit per datagram. A reclaim changes more records at once and is split into several batches:
// peers that don't receive all changes have to read the topic themselves.
constexpr std::size_t max_relayed_bytes = 8 * 1024;

void log_change(const endpoint_record& record)
{
    log_event(record.leaving ? event_id::endpoint_leaving : event_id::endpoint_listed,
              {{"endpoint", record.id.str()},
               {"service", record.service.str()},
               {"zone", record.zone.str()},
               {"version", record.version.str()},
               {"reclaimable", record.reclaimable ? "yes" : "no"},
               {"leaves_ms", record.reclaimed_in
                                 ? absl::StrCat(absl::ToInt64Milliseconds(*record.reclaimed_in))
                                 : "unknown"}});
}

} // namespace

endpoint_watcher::endpoint_watcher(options parts)
    : m_store(parts.store),
      m_format(parts.format),
      m_time(parts.time),
      m_peers(parts.peers),
      m_self(std::move(parts.self)),
      m_listeners(std::move(parts.listeners)),
      m_poll_interval(parts.poll_interval),
      m_relayed_batches(max_queued_batches),
      m_tail({.self = m_self}),
      m_epochs(parts.epochs != nullptr ? *parts.epochs : m_own_epochs)
{}

void endpoint_watcher::run()
{
    while (!m_relayed_batches.closed()) {
        bool read_ok = true;
        (void)follow_epoch();
        if (m_tail.must_read(m_time.now()))
            read_ok = m_tail.next_offset() ? read_changes() : read_snapshot();
        notify_listeners(m_directory.tick(m_time.now()));
        const absl::Time until =
            m_time.now() + (read_ok ? m_poll_interval : m_tail.on_failed_read());
        while (const auto batch =
                   m_relayed_batches.pop(std::max(absl::ZeroDuration(), until - m_time.now()))) {
            m_epochs.note(batch->epoch);
            if (!m_tail.on_relay(*batch, m_time.now()))
                continue;
            on_store_reachable();
            for (const stored_record& record : batch->records)
                apply(record);
        }
    }
}

void endpoint_watcher::request_stop()
{
    m_relayed_batches.close();
    m_store.stop();
}

bool endpoint_watcher::read_snapshot()
{
    const auto batch = m_store.newest(topic::endpoints);
    if (!is_ok(batch)) {
        on_store_unreachable(get_error(batch).message);
        return false;
    }
    // The whole topic is valid on its own, unless it is older than what the node knows of.
    if (follow_epoch() == era::answer_kind::outdated)
        return false;
    m_reachability.on_read_success();
    on_store_reachable();
    std::vector<endpoint_record> records;
    for (const stored_record& record : get_value(batch).records) {
        if (record.removed)
            continue;
        if (auto decoded = decode(record))
            records.push_back(std::move(*decoded));
    }
    notify_listeners(m_directory.on_list(records, m_time.now()));
    m_tail.on_own_read(get_value(batch).next_offset);
    if (!m_loaded) {
        m_loaded = true;
        notify_listeners({{node_event::endpoints_loaded{}}});
    }
    return true;
}

bool endpoint_watcher::read_changes()
{
    const std::uint64_t begin = *m_tail.next_offset();
    const auto batch = m_store.read(topic::endpoints, begin, absl::ZeroDuration());
    if (!is_ok(batch)) {
        on_store_unreachable(get_error(batch).message);
        (void)follow_epoch();
        return false;
    }
    const era::answer_kind kind = follow_epoch();
    if (kind != era::answer_kind::current)
        return kind == era::answer_kind::restored;
    m_reachability.on_read_success();
    on_store_reachable();
    if (get_value(batch).truncated) {
        m_tail.reset();
        return true;
    }
    m_tail.on_own_read(get_value(batch).next_offset);
    apply_and_relay(get_value(batch), begin);
    return true;
}

era::answer_kind endpoint_watcher::follow_epoch()
{
    m_epochs.note(m_store.epoch());
    const std::uint64_t newest = m_epochs.newest();
    const auto kind = era::check_answer(m_store.epoch(), m_tail.epoch(), newest);
    const bool was_read = m_tail.next_offset().has_value();
    if (m_tail.begin_epoch(newest) && was_read) {
        // Endpoints that are missing from the older copy write their records again.
        m_directory.on_store_failed(m_time.now());
        log_event(event_id::store_restored,
                  {{"topic", "endpoints"}, {"epoch", absl::StrCat(m_tail.epoch())}});
    }
    return kind;
}

void endpoint_watcher::on_store_unreachable(const std::string& reason)
{
    m_store_unreachable = true;
    m_directory.on_store_failed(m_time.now());
    m_reachability.on_read_failure(reason);
}

// The store recovered at some unknown time since the last failed read. The removal delay of records
// that lapsed during the outage starts now.
void endpoint_watcher::on_store_reachable()
{
    if (m_store_unreachable)
        m_directory.on_store_failed(m_time.now());
    m_store_unreachable = false;
}

void endpoint_watcher::apply_and_relay(const record_batch& batch, std::uint64_t begin)
{
    relayed_batch part{.sender = m_self,
                       .from = topic::endpoints,
                       .begin_offset = begin,
                       .complete = true,
                       .epoch = m_tail.epoch()};
    std::size_t bytes = 0;
    for (const stored_record& record : batch.records) {
        if (!apply(record))
            continue;
        const std::size_t size = record.key.size() + record.value.size();
        if (bytes > 0 && bytes + size > max_relayed_bytes) {
            part.end_offset = record.offset;
            m_peers.relay(part);
            part.begin_offset = record.offset;
            part.records.clear();
            bytes = 0;
        }
        bytes += size;
        part.records.push_back(record);
    }
    part.end_offset = batch.next_offset;
    m_peers.relay(std::move(part));
}

std::optional<endpoint_record> endpoint_watcher::decode(const stored_record& record) const
{
    auto decoded = m_format.decode_endpoint(record);
    if (is_ok(decoded))
        return take_value(std::move(decoded));
    log_event(event_id::record_rejected, {{"topic", "endpoints"},
                                          {"key", record.key},
                                          {"offset", absl::StrCat(record.offset)},
                                          {"reason", get_error(decoded).message}});
    return std::nullopt;
}

bool endpoint_watcher::apply(const stored_record& record)
{
    if (record.removed) {
        const endpoint_id endpoint(record.key);
        notify_listeners(m_directory.on_removed(endpoint, m_time.now()));
        if (const auto due = m_directory.removal_due(endpoint))
            notify_listeners({{node_event::endpoint_removal_scheduled{endpoint, *due}}});
        // Deferred removals are relayed as well: each node decides itself when to apply them.
        return true;
    }
    const auto decoded = decode(record);
    if (!decoded)
        return false;
    // Peers received the removal and deferred it as well. They would apply it if the record that
    // cancels it weren't relayed.
    const bool removal_was_deferred = m_directory.removal_due(decoded->id).has_value();
    const std::vector<node_event> events = m_directory.on_record(*decoded);
    notify_listeners(events);
    if (removal_was_deferred && events.empty())
        notify_listeners(
            {{node_event::endpoint_changed{std::make_shared<const endpoint_record>(*decoded)}}});
    return removal_was_deferred || !events.empty();
}

void endpoint_watcher::notify_listeners(const std::vector<node_event>& events) const
{
    for (const node_event& event : events) {
        if (const auto* changed = std::get_if<node_event::endpoint_changed>(&event.value))
            log_change(*changed->record);
        else if (const auto* removed = std::get_if<node_event::endpoint_removed>(&event.value))
            log_event(event_id::endpoint_gone, {{"endpoint", removed->id.str()}});
        else if (const auto* scheduled =
                     std::get_if<node_event::endpoint_removal_scheduled>(&event.value))
            log_event(event_id::endpoint_removal_deferred, {{"endpoint", scheduled->id.str()}});
        for (node_event_listener* listener : m_listeners)
            listener->on_event(event);
    }
}

} // namespace chivedeal::forward
