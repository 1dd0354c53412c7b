#include "chivedeal/forward/endpoint_watcher.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::forward {

namespace {

constexpr absl::Duration retry_pause = absl::Milliseconds(200);

} // namespace

endpoint_watcher::endpoint_watcher(options parts)
    : m_store(parts.store),
      m_format(parts.format),
      m_time(parts.time),
      m_listeners(std::move(parts.listeners)),
      m_poll_interval(parts.poll_interval),
      m_stop(1)
{}

void endpoint_watcher::run()
{
    while (!m_stop.closed()) {
        const bool ok = m_next ? follow() : load();
        tell(m_directory.tick(m_time.now()));
        (void)m_stop.pop(ok ? m_poll_interval : retry_pause);
    }
}

void endpoint_watcher::request_stop()
{
    m_stop.close();
    m_store.stop();
}

bool endpoint_watcher::load()
{
    const auto batch = m_store.newest(topic::endpoints);
    note_reachable(is_ok(batch), is_ok(batch) ? "" : get_error(batch).message);
    if (!is_ok(batch))
        return false;
    std::vector<endpoint_record> records;
    for (const stored_record& record : get_value(batch).records) {
        if (record.removed)
            continue;
        auto decoded = m_format.decode_endpoint(record);
        if (is_ok(decoded))
            records.push_back(take_value(std::move(decoded)));
        else
            log_event(event_id::record_rejected, {{"topic", "endpoints"},
                                                  {"key", record.key},
                                                  {"reason", get_error(decoded).message}});
    }
    tell(m_directory.on_list(records, m_time.now()));
    m_next = get_value(batch).next;
    if (!m_loaded) {
        m_loaded = true;
        tell({{node_event::endpoints_loaded{}}});
    }
    return true;
}

bool endpoint_watcher::follow()
{
    const auto batch = m_store.read(topic::endpoints, *m_next, absl::ZeroDuration());
    note_reachable(is_ok(batch), is_ok(batch) ? "" : get_error(batch).message);
    if (!is_ok(batch))
        return false;
    if (get_value(batch).truncated) {
        m_next.reset();
        return true;
    }
    for (const stored_record& record : get_value(batch).records) {
        if (record.removed) {
            tell(m_directory.on_removed(endpoint_id(record.key), m_time.now()));
            continue;
        }
        const auto decoded = m_format.decode_endpoint(record);
        if (is_ok(decoded))
            tell(m_directory.on_record(get_value(decoded)));
        else
            log_event(event_id::record_rejected, {{"topic", "endpoints"},
                                                  {"key", record.key},
                                                  {"offset", absl::StrCat(record.offset)},
                                                  {"reason", get_error(decoded).message}});
    }
    m_next = get_value(batch).next;
    return true;
}

void endpoint_watcher::tell(const std::vector<node_event>& events) const
{
    for (const node_event& event : events) {
        if (const auto* changed = std::get_if<node_event::endpoint_changed>(&event.value))
            log_event(changed->record.leaving ? event_id::endpoint_leaving
                                              : event_id::endpoint_listed,
                      {{"endpoint", changed->record.id.str()},
                       {"service", changed->record.service.str()},
                       {"zone", changed->record.zone.str()},
                       {"version", changed->record.version.str()}});
        else if (const auto* removed = std::get_if<node_event::endpoint_removed>(&event.value))
            log_event(event_id::endpoint_gone, {{"endpoint", removed->id.str()}});
        for (node_event_listener* one : m_listeners)
            one->on_event(event);
    }
}

void endpoint_watcher::note_reachable(bool reachable, const std::string& reason)
{
    if (!reachable)
        m_directory.on_store_failed(m_time.now());
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    if (reachable)
        log_event(event_id::store_recovered, {{"topic", "endpoints"}});
    else
        log_event(event_id::store_unreachable, {{"topic", "endpoints"}, {"reason", reason}});
}

} // namespace chivedeal::forward
