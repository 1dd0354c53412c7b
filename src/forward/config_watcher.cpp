#include "chivedeal/forward/config_watcher.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/era/position.hpp"
#include "chivedeal/forward/batch_sender.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// Limits the rate of reads that the store answers immediately or that a peer makes unnecessary.
constexpr absl::Duration min_pause = absl::Milliseconds(200);
constexpr std::size_t max_queued_batches = 64;
// A larger configuration isn't relayed: it would saturate the link of a small instance for a
// second, and a datagram holds at most 64 KB.
constexpr std::size_t max_relayed_bytes = 32 * 1024;

bool fits_in_datagram(const record_batch& batch)
{
    std::size_t bytes = 0;
    for (const stored_record& record : batch.records)
        bytes += record.key.size() + record.value.size();
    return bytes <= max_relayed_bytes;
}

} // namespace

config_watcher::config_watcher(options parts)
    : m_store(parts.store),
      m_format(parts.format),
      m_time(parts.time),
      m_peers(parts.peers),
      m_self(std::move(parts.self)),
      m_listeners(std::move(parts.listeners)),
      m_relayed_batches(max_queued_batches),
      m_read_wait(parts.pace.wait),
      m_tail({.self = m_self, .relay_validity = parts.pace.relay_validity}),
      m_epochs(parts.epochs != nullptr ? *parts.epochs : m_own_epochs)
{}

void config_watcher::run()
{
    while (!m_relayed_batches.closed()) {
        const absl::Time started_at = m_time.now();
        bool read_ok = true;
        (void)follow_epoch();
        if (m_evacuations.must_list_again(started_at))
            m_tail.reset();
        if (m_tail.must_read(started_at))
            read_ok = m_tail.next_offset() ? read_changes() : read_snapshot();
        // A read normally blocks at the store until its timeout; otherwise the duty waits here.
        const bool read_blocked = m_time.now() - started_at > min_pause;
        const absl::Duration pause = !read_ok       ? m_tail.on_failed_read()
                                     : read_blocked ? absl::ZeroDuration()
                                                    : min_pause;
        apply_relayed_batches(m_time.now() + pause);
    }
}

// Drains the queue before the next read. If many nodes read at once and each took one batch per
// read, their queues would stay full of batches from nodes with higher IDs, and all would keep
// reading.
void config_watcher::apply_relayed_batches(absl::Time until)
{
    while (const auto batch =
               m_relayed_batches.pop(std::max(absl::ZeroDuration(), until - m_time.now()))) {
        m_epochs.note(batch->epoch);
        if (m_tail.on_relay(*batch, m_time.now()))
            for (const stored_record& record : batch->records)
                apply(record);
        if (m_tail.must_read(m_time.now()))
            until = m_time.now();
    }
}

void config_watcher::request_stop()
{
    m_relayed_batches.close();
    m_store.stop();
}

bool config_watcher::read_snapshot()
{
    const auto batch = m_store.newest(topic::configuration);
    if (!is_ok(batch)) {
        m_reachability.on_read_failure(get_error(batch).message);
        return false;
    }
    // The whole topic is valid on its own, unless it is older than what the node knows of.
    if (follow_epoch() == era::answer_kind::outdated)
        return false;
    m_reachability.on_read_success();
    apply_snapshot(get_value(batch));
    m_tail.on_own_read(get_value(batch).next_offset);
    return true;
}

bool config_watcher::read_changes()
{
    const std::uint64_t begin = *m_tail.next_offset();
    const auto batch = m_store.read(topic::configuration, begin, m_read_wait);
    if (!is_ok(batch)) {
        m_reachability.on_read_failure(get_error(batch).message);
        (void)follow_epoch();
        return false;
    }
    const era::answer_kind kind = follow_epoch();
    if (kind != era::answer_kind::current)
        return kind == era::answer_kind::restored;
    m_reachability.on_read_success();
    apply(get_value(batch));
    m_tail.on_own_read(get_value(batch).next_offset);
    if (get_value(batch).truncated) {
        m_tail.reset();
        return true;
    }
    // Peers that receive an incomplete batch read the topic themselves.
    const bool complete = fits_in_datagram(get_value(batch));
    m_peers.relay({.sender = m_self,
                   .from = topic::configuration,
                   .begin_offset = begin,
                   .end_offset = get_value(batch).next_offset,
                   .complete = complete,
                   .records = complete ? get_value(batch).records : std::vector<stored_record>{},
                   .epoch = m_tail.epoch()});
    return true;
}

// Evacuations go first: the node is ready as soon as it has a configuration.
void config_watcher::apply_snapshot(const record_batch& batch)
{
    std::vector<regions::zone_evacuation> evacuations;
    std::vector<std::pair<const stored_record*, operator_record>> others;
    for (const stored_record& record : batch.records) {
        auto value = decode(record);
        if (!value)
            continue;
        if (const auto* evacuation = std::get_if<regions::zone_evacuation>(&*value))
            evacuations.push_back(*evacuation);
        else
            others.emplace_back(&record, std::move(*value));
    }
    if (m_evacuations.on_list(evacuations, m_time.now()))
        report_evacuations();
    for (auto& [record, value] : others)
        apply(*record, std::move(value));
}

void config_watcher::report_evacuations() const
{
    const auto zones = std::make_shared<const std::set<zone_id>>(m_evacuations.zones());
    const auto append_name = [](std::string* out, const zone_id& zone) { *out += zone.str(); };
    log_event(event_id::evacuations_changed, {{"zones", absl::StrJoin(*zones, ",", append_name)}});
    for (node_event_listener* listener : m_listeners)
        listener->on_event({node_event::evacuations_changed{zones}});
}

era::answer_kind config_watcher::follow_epoch()
{
    m_epochs.note(m_store.epoch());
    const std::uint64_t newest = m_epochs.newest();
    const auto kind = era::check_answer(m_store.epoch(), m_tail.epoch(), newest);
    const bool was_read = m_tail.next_offset().has_value();
    if (m_tail.begin_epoch(newest) && was_read) {
        m_orders.on_restored(m_time.now());
        m_evacuations.on_restored(m_time.now());
        log_event(event_id::store_restored,
                  {{"topic", "configuration"}, {"epoch", absl::StrCat(m_tail.epoch())}});
    }
    return kind;
}

void config_watcher::apply(const record_batch& batch)
{
    for (const stored_record& record : batch.records)
        apply(record);
}

std::optional<operator_record> config_watcher::decode(const stored_record& record) const
{
    auto decoded = m_format.decode_operator_record(record);
    if (is_ok(decoded))
        return take_value(std::move(decoded));
    log_event(event_id::record_rejected, {{"topic", "configuration"},
                                          {"key", record.key},
                                          {"offset", absl::StrCat(record.offset)},
                                          {"reason", get_error(decoded).message}});
    return std::nullopt;
}

void config_watcher::apply(const stored_record& record)
{
    if (auto value = decode(record))
        apply(record, std::move(*value));
}

void config_watcher::apply(const stored_record& record, operator_record value)
{
    if (const auto* evacuation = std::get_if<regions::zone_evacuation>(&value)) {
        if (m_evacuations.on_record(*evacuation))
            report_evacuations();
        return;
    }
    if (auto* order = std::get_if<rollout_order>(&value)) {
        order->offset = record.offset;
        const auto verdict = m_orders.on_order(record.key, *order, m_time.now());
        if (verdict == era::order_history::verdict::ignored)
            return;
        order->offset = era::make_position(m_tail.epoch(), record.offset);
        order->rewritten = verdict == era::order_history::verdict::rewritten;
        for (node_event_listener* listener : m_listeners)
            listener->on_event({node_event::rollout_ordered{*order}});
        return;
    }
    auto* config = std::get_if<traffic_config>(&value);
    if (config == nullptr || config->version <= m_applied_version)
        return;
    m_applied_version = config->version;
    log_event(event_id::configuration_applied, {{"version", absl::StrCat(m_applied_version)},
                                                {"routes", absl::StrCat(config->routes.size())},
                                                {"offset", absl::StrCat(record.offset)}});
    const auto index = std::make_shared<const route_index>(std::move(*config));
    for (node_event_listener* listener : m_listeners)
        listener->on_event({node_event::config_changed{index}});
}

} // namespace chivedeal::forward
