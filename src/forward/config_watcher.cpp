#include "chivedeal/forward/config_watcher.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::forward {

namespace {

// Short enough that a connection that fell silent is noticed well within the time in which a
// configuration has to be in force.
constexpr absl::Duration poll_wait = absl::Milliseconds(1500);
constexpr absl::Duration retry_pause = absl::Milliseconds(200);

} // namespace

config_watcher::config_watcher(options parts)
    : m_store(parts.store),
      m_format(parts.format),
      m_listeners(std::move(parts.listeners)),
      m_stop(1)
{}

void config_watcher::run()
{
    while (!m_stop.closed()) {
        const bool ok = m_next ? follow() : load();
        if (!ok)
            (void)m_stop.pop(retry_pause);
    }
}

void config_watcher::request_stop()
{
    m_stop.close();
    m_store.stop();
}

bool config_watcher::load()
{
    const auto batch = m_store.newest(topic::configuration);
    note_reachable(is_ok(batch), is_ok(batch) ? "" : get_error(batch).message);
    if (!is_ok(batch))
        return false;
    take(get_value(batch));
    m_next = get_value(batch).next;
    return true;
}

bool config_watcher::follow()
{
    const auto batch = m_store.read(topic::configuration, *m_next, poll_wait);
    note_reachable(is_ok(batch), is_ok(batch) ? "" : get_error(batch).message);
    if (!is_ok(batch))
        return false;
    take(get_value(batch));
    m_next = get_value(batch).next;
    if (get_value(batch).truncated)
        m_next.reset();
    return true;
}

void config_watcher::take(const record_batch& batch)
{
    for (const stored_record& record : batch.records)
        if (!record.removed)
            take(record);
}

void config_watcher::take(const stored_record& record)
{
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
    log_event(event_id::configuration_applied,
              {{"version", absl::StrCat(m_version)},
               {"routes", absl::StrCat(config->routes.size())},
               {"offset", absl::StrCat(record.offset)}});
    const auto index = std::make_shared<const route_index>(std::move(*config));
    for (node_event_listener* one : m_listeners)
        one->on_event({node_event::config_changed{index}});
}

void config_watcher::note_reachable(bool reachable, const std::string& reason)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    if (reachable)
        log_event(event_id::store_recovered, {{"topic", "configuration"}});
    else
        log_event(event_id::store_unreachable, {{"topic", "configuration"}, {"reason", reason}});
}

} // namespace chivedeal::forward
