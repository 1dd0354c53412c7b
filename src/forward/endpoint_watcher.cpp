#include "chivedeal/forward/endpoint_watcher.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/relay_port.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::size_t most_relays = 64;
// Bytes of records in one datagram. A reclaim changes more at once and goes out in parts: peers that
// are not told all of it have to read the topic themselves.
constexpr std::size_t most_relayed_bytes = 8 * 1024;

void log_change(const endpoint_record& record)
{
    log_event(
        record.leaving ? event_id::endpoint_leaving : event_id::endpoint_listed,
        {{"endpoint", record.id.str()},
         {"service", record.service.str()},
         {"zone", record.zone.str()},
         {"version", record.version.str()},
         {"reclaimable", record.reclaimable ? "yes" : "no"},
         {"leaves_ms", record.leaves_in ? absl::StrCat(absl::ToInt64Milliseconds(*record.leaves_in))
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
      m_relays(most_relays),
      m_tail({.self = m_self})
{}

void endpoint_watcher::run()
{
    while (!m_relays.closed()) {
        bool ok = true;
        if (m_tail.must_read(m_time.now()))
            ok = m_tail.next() ? follow() : load();
        tell(m_directory.tick(m_time.now()));
        const absl::Time until = m_time.now() + (ok ? m_poll_interval : m_tail.on_failed_read());
        while (const auto batch =
                   m_relays.pop(std::max(absl::ZeroDuration(), until - m_time.now()))) {
            if (!m_tail.on_relay(*batch, m_time.now()))
                continue;
            note_reached();
            for (const stored_record& record : batch->records)
                take(record);
        }
    }
}

void endpoint_watcher::request_stop()
{
    m_relays.close();
    m_store.stop();
}

bool endpoint_watcher::load()
{
    const auto batch = m_store.newest(topic::endpoints);
    if (!is_ok(batch)) {
        note_failed(get_error(batch).message);
        return false;
    }
    m_reachability.note_reached();
    note_reached();
    std::vector<endpoint_record> records;
    for (const stored_record& record : get_value(batch).records) {
        if (record.removed)
            continue;
        if (auto decoded = decode(record))
            records.push_back(std::move(*decoded));
    }
    tell(m_directory.on_list(records, m_time.now()));
    m_tail.on_own_read(get_value(batch).next);
    if (!m_loaded) {
        m_loaded = true;
        tell({{node_event::endpoints_loaded{}}});
    }
    return true;
}

bool endpoint_watcher::follow()
{
    const std::uint64_t begin = *m_tail.next();
    const auto batch = m_store.read(topic::endpoints, begin, absl::ZeroDuration());
    if (!is_ok(batch)) {
        note_failed(get_error(batch).message);
        return false;
    }
    m_reachability.note_reached();
    note_reached();
    if (get_value(batch).truncated) {
        m_tail.reset();
        return true;
    }
    m_tail.on_own_read(get_value(batch).next);
    relay(get_value(batch), begin);
    return true;
}

void endpoint_watcher::note_failed(const std::string& reason)
{
    m_failing = true;
    m_directory.on_store_failed(m_time.now());
    m_reachability.note_failed(reason);
}

// The store came back at some time since the last failed read; records that lapsed need time from
// then on.
void endpoint_watcher::note_reached()
{
    if (m_failing)
        m_directory.on_store_failed(m_time.now());
    m_failing = false;
}

void endpoint_watcher::relay(const record_batch& batch, std::uint64_t begin)
{
    relayed_batch part{
        .sender = m_self, .from = topic::endpoints, .begin = begin, .complete = true};
    std::size_t bytes = 0;
    for (const stored_record& record : batch.records) {
        if (!take(record))
            continue;
        const std::size_t size = record.key.size() + record.value.size();
        if (bytes > 0 && bytes + size > most_relayed_bytes) {
            part.next = record.offset;
            m_peers.relay(part);
            part.begin = record.offset;
            part.records.clear();
            bytes = 0;
        }
        bytes += size;
        part.records.push_back(record);
    }
    part.next = batch.next;
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

bool endpoint_watcher::take(const stored_record& record)
{
    if (record.removed) {
        tell(m_directory.on_removed(endpoint_id(record.key), m_time.now()));
        // A removal that is held back here is passed on, too: each node decides for itself.
        return true;
    }
    const auto decoded = decode(record);
    if (!decoded)
        return false;
    // Peers were told of the removal and hold it back, too: without the record that ends it they
    // would carry it out.
    const bool returned = m_directory.holds_back(decoded->id);
    const std::vector<node_event> events = m_directory.on_record(*decoded);
    tell(events);
    return returned || !events.empty();
}

void endpoint_watcher::tell(const std::vector<node_event>& events) const
{
    for (const node_event& event : events) {
        if (const auto* changed = std::get_if<node_event::endpoint_changed>(&event.value))
            log_change(*changed->record);
        else if (const auto* removed = std::get_if<node_event::endpoint_removed>(&event.value))
            log_event(event_id::endpoint_gone, {{"endpoint", removed->id.str()}});
        for (node_event_listener* one : m_listeners)
            one->on_event(event);
    }
}

} // namespace chivedeal::forward
