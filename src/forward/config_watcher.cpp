#include "chivedeal/forward/config_watcher.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/relay_port.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// Short enough that a node which follows a peer's reads, and the peer's end, has a configuration
// in force in time.
constexpr absl::Duration poll_wait = absl::Milliseconds(600);
// A read that the store answers at once, or that a peer does, must not be repeated at once.
constexpr absl::Duration least_pause = absl::Milliseconds(200);
constexpr std::size_t most_relays = 64;
// A larger configuration isn't sent on: it would fill the link of a small instance for a second, and
// datagrams hold 64 KB.
constexpr std::size_t most_relayed_bytes = 32 * 1024;

bool fits_a_datagram(const record_batch& batch)
{
    std::size_t bytes = 0;
    for (const stored_record& one : batch.records)
        bytes += one.key.size() + one.value.size();
    return bytes <= most_relayed_bytes;
}

} // namespace

config_watcher::config_watcher(options parts)
    : m_store(parts.store),
      m_format(parts.format),
      m_time(parts.time),
      m_peers(parts.peers),
      m_self(std::move(parts.self)),
      m_listeners(std::move(parts.listeners)),
      m_relays(most_relays),
      m_tail({.self = m_self})
{}

void config_watcher::run()
{
    while (!m_relays.closed()) {
        const absl::Time begin = m_time.now();
        bool ok = true;
        if (m_tail.must_read(begin))
            ok = m_tail.next() ? follow() : load();
        // A read normally waits at the store; otherwise this is where the duty sleeps.
        const bool waited = m_time.now() - begin > least_pause;
        const absl::Duration pause = !ok      ? m_tail.on_failed_read()
                                     : waited ? absl::ZeroDuration()
                                              : least_pause;
        take_relays(m_time.now() + pause);
    }
}

// All that waits is taken before the next read: of many nodes that read at once each would otherwise
// see one relay a read, find the ring full of others', and read on.
void config_watcher::take_relays(absl::Time until)
{
    while (const auto batch = m_relays.pop(std::max(absl::ZeroDuration(), until - m_time.now()))) {
        if (m_tail.on_relay(*batch, m_time.now()))
            for (const stored_record& one : batch->records)
                take(one);
        if (m_tail.must_read(m_time.now()))
            until = m_time.now();
    }
}

void config_watcher::request_stop()
{
    m_relays.close();
    m_store.stop();
}

bool config_watcher::load()
{
    const auto batch = m_store.newest(topic::configuration);
    if (!is_ok(batch)) {
        m_reachability.note_failed(get_error(batch).message);
        return false;
    }
    m_reachability.note_reached();
    take(get_value(batch));
    m_tail.on_own_read(get_value(batch).next);
    return true;
}

bool config_watcher::follow()
{
    const std::uint64_t begin = *m_tail.next();
    const auto batch = m_store.read(topic::configuration, begin, poll_wait);
    if (!is_ok(batch)) {
        m_reachability.note_failed(get_error(batch).message);
        return false;
    }
    m_reachability.note_reached();
    take(get_value(batch));
    m_tail.on_own_read(get_value(batch).next);
    if (get_value(batch).truncated) {
        m_tail.reset();
        return true;
    }
    // Peers that are not told of a change read it themselves.
    const bool complete = fits_a_datagram(get_value(batch));
    m_peers.relay({.sender = m_self,
                   .from = topic::configuration,
                   .begin = begin,
                   .next = get_value(batch).next,
                   .complete = complete,
                   .records = complete ? get_value(batch).records : std::vector<stored_record>{}});
    return true;
}

void config_watcher::take(const record_batch& batch)
{
    for (const stored_record& record : batch.records)
        take(record);
}

void config_watcher::take(const stored_record& record)
{
    if (record.removed)
        return;
    auto decoded = m_format.decode_operator_record(record);
    if (!is_ok(decoded)) {
        log_event(event_id::record_rejected, {{"topic", "configuration"},
                                              {"key", record.key},
                                              {"offset", absl::StrCat(record.offset)},
                                              {"reason", get_error(decoded).message}});
        return;
    }
    operator_record value = take_value(std::move(decoded));
    if (auto* order = std::get_if<rollout_order>(&value)) {
        auto& newest = m_rollouts[record.key];
        // An offset of zero is a valid one; the map starts below it.
        if (newest > record.offset)
            return;
        newest = record.offset + 1;
        order->offset = record.offset;
        for (node_event_listener* one : m_listeners)
            one->on_event({node_event::rollout_ordered{*order}});
        return;
    }
    auto* config = std::get_if<traffic_config>(&value);
    if (config == nullptr || config->version <= m_version)
        return;
    m_version = config->version;
    log_event(event_id::configuration_applied, {{"version", absl::StrCat(m_version)},
                                                {"routes", absl::StrCat(config->routes.size())},
                                                {"offset", absl::StrCat(record.offset)}});
    const auto index = std::make_shared<const route_index>(std::move(*config));
    for (node_event_listener* one : m_listeners)
        one->on_event({node_event::config_changed{index}});
}

} // namespace chivedeal::forward
