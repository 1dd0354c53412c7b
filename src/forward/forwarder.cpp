#include "chivedeal/forward/forwarder.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/rejection.hpp"
#include "chivedeal/forward/request_format.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/random/random.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::uint64_t queue_wake_id = 1;
constexpr std::uint64_t first_listener_id = 16;
constexpr absl::Duration periodic_task_interval = absl::Milliseconds(100);
constexpr absl::Duration report_interval = absl::Milliseconds(500);
// An urgent publication is a datagram to each node.
constexpr absl::Duration min_urgent_publication_interval = absl::Milliseconds(200);
// Callers in a region with fewer ready nodes get the addresses of all nodes.
constexpr std::size_t min_regional_nodes = 2;
// Some callers cache the directory response for three times its TTL.
constexpr double address_ttl_factor = 3;
// Parts of the termination grace period that are reserved for process exit, and before it for
// writing the responses to requests that are still under way.
constexpr absl::Duration exit_margin = absl::Milliseconds(400);
constexpr absl::Duration final_response_margin = absl::Milliseconds(100);
// The stop signal is handled at most this long after it was sent, from which callers count.
constexpr absl::Duration max_signal_delay = absl::Milliseconds(200);
// The heaviest connections have been rejected by then, if callers within the limits are the rest.
constexpr absl::Duration shed_retry_after = absl::Milliseconds(500);
// What a peer admitted before this node heard of it is counted only while this node is young: later
// on, the limits of that time have passed.
constexpr absl::Duration max_catch_up_time = absl::Seconds(4);

std::string query_value(const std::string& target, const std::string& name)
{
    const std::size_t query_begin = target.find('?');
    if (query_begin == std::string::npos)
        return {};
    const absl::string_view query = absl::string_view(target).substr(query_begin + 1);
    for (const absl::string_view pair : absl::StrSplit(query, '&')) {
        const std::pair<absl::string_view, absl::string_view> key_value =
            absl::StrSplit(pair, absl::MaxSplits('=', 1));
        if (key_value.first == absl::string_view(name))
            return std::string(key_value.second);
    }
    return {};
}

} // namespace

forwarder::forwarder(options dependencies)
    : m_settings(dependencies.settings),
      m_format(dependencies.format),
      m_time(dependencies.time),
      m_counters(dependencies.counters),
      m_event_queue(dependencies.queue),
      m_control(dependencies.control),
      m_peers(dependencies.peers),
      m_on_drained(std::move(dependencies.on_drained)),
      m_limits(guard::divide_instance(m_settings.instance)),
      m_callers(m_poller, *this, m_limits),
      m_pool({.self = m_settings.node,
              .region = m_settings.region,
              .zones = m_settings.zones,
              .cold = m_settings.cold,
              .seed = absl::Uniform<std::uint64_t>(absl::BitGen())}),
      m_endpoints(m_poller, m_runner,
                  {.id_field = dependencies.names.request_id,
                   .max_connections = m_limits.max_endpoint_connections}),
      m_runner({.settings = m_settings,
                .names = dependencies.names,
                .callers = m_callers,
                .endpoints = m_endpoints,
                .pool = m_pool,
                .counters = m_counters,
                .max_buffered_body_bytes = m_limits.max_buffered_response_bytes}),
      m_started_at(m_time.now()),
      m_node_count({.started_at = m_started_at, .is_first_start = m_settings.is_first_start})
{
    m_runner.set_true_time_offset(m_time.wall_now() - m_started_at);
    update_node_count(m_started_at);
}

forwarder::~forwarder()
{
    for (const auto& [socket, kind] : m_listeners)
        ::close(socket);
}

void forwarder::run()
{
    m_poller.add(m_event_queue.wake().descriptor(), queue_wake_id, true, false);
    open_listener(m_settings.front, front);
    if (m_settings.ready)
        open_listener(*m_settings.ready, ready);
    if (m_settings.directory)
        open_listener(*m_settings.directory, directory);
    if (m_settings.metrics)
        open_listener(*m_settings.metrics, metrics_page);
    absl::Time next_timer = absl::InfiniteFuture();
    // A request that is read after the drain would be cut off by the exit of the process. One that
    // is not read is known not to have run.
    while (!m_event_queue.closed() && !m_drained) {
        const absl::Time due = m_callers.has_resumable()
                                   ? absl::InfinitePast()
                                   : std::min(next_timer, m_next_periodic_run);
        const auto& events = m_poller.wait(std::max(absl::ZeroDuration(), due - m_time.now()));
        const absl::Time now = m_time.now();
        for (const poller::ready& event : events) {
            dispatch(event, now);
            m_callers.enforce_budget(now);
        }
        process_events(now);
        m_callers.resume(now);
        next_timer = m_runner.tick(now);
        for (const prompt_notice& notice : m_pool.take_notices())
            m_peers.send_prompt_notice(notice);
        publish_urgent_suspicions(now);
        if (now >= m_next_periodic_run)
            run_periodic_tasks(now);
        m_callers.sweep();
        m_endpoints.sweep();
    }
    if (!m_drained)
        end_without_drain(m_time.now());
    while (!m_event_queue.closed())
        (void)m_event_queue.pop(absl::InfiniteDuration());
}

void forwarder::request_stop() { m_event_queue.close(); }

void forwarder::open_listener(const address& at, listener kind)
{
    const auto socket = listen_tcp(at);
    if (!is_ok(socket))
        throw std::runtime_error(get_error(socket).message);
    m_listeners.emplace(get_value(socket), kind);
    set_buffer_sizes(get_value(socket), m_limits.receive_buffer_bytes, m_limits.send_buffer_bytes);
    m_poller.add(get_value(socket),
                 first_listener_id + static_cast<std::uint64_t>(get_value(socket)), true, false);
}

void forwarder::dispatch(const poller::ready& event, absl::Time now)
{
    if ((event.id & caller_side::id_mark) != 0)
        return m_callers.on_ready(event.id, event.readable, event.writable, event.broken, now);
    if ((event.id & endpoint_side::id_mark) != 0)
        return m_endpoints.on_ready(event.id, event.readable, event.writable, event.broken, now);
    if (event.id == queue_wake_id)
        return m_event_queue.wake().clear();
    const int socket = static_cast<int>(event.id - first_listener_id);
    const auto found = m_listeners.find(socket);
    if (found != m_listeners.end())
        m_callers.accept_all(socket, found->second, now);
}

void forwarder::process_events(absl::Time now)
{
    while (const auto event = m_event_queue.pop(absl::ZeroDuration()))
        handle_event(*event, now);
}

void forwarder::handle_event(const node_event& event, absl::Time now)
{
    if (const auto* changed = std::get_if<node_event::config_changed>(&event.value)) {
        m_runner.set_config(changed->index, now);
        m_index = changed->index;
        m_pool.gate().set_cold_specs(m_index->cold_specs(), now);
    }
    else if (const auto* endpoint = std::get_if<node_event::endpoint_changed>(&event.value)) {
        m_pool.update(*endpoint->record);
        m_pool.gate().on_record(*endpoint->record, now);
    }
    else if (const auto* removed = std::get_if<node_event::endpoint_removed>(&event.value)) {
        m_pool.remove(removed->id);
        m_pool.gate().on_removed(removed->id, now);
        m_endpoints.forget(removed->id);
    }
    else if (const auto* scheduled =
                 std::get_if<node_event::endpoint_removal_scheduled>(&event.value)) {
        m_pool.schedule_removal(scheduled->id, scheduled->due);
    }
    else if (std::holds_alternative<node_event::endpoints_loaded>(event.value)) {
        m_endpoints_loaded = true;
        m_pool.gate().on_endpoints_loaded();
    }
    else if (const auto* evacuations = std::get_if<node_event::evacuations_changed>(&event.value)) {
        m_pool.gate().set_evacuated_zones(*evacuations->zones, now);
        m_endpoints.abandon_unsent(
            [this](const endpoint_id& id) { return m_pool.gate().is_evacuated(id); }, now);
        m_counters.set("chivedeal_evacuated_zones",
                       static_cast<double>(evacuations->zones->size()));
    }
    else if (const auto* heard = std::get_if<node_event::peer_heard>(&event.value)) {
        handle_beacon(*heard, now);
    }
    else if (const auto* prompt = std::get_if<node_event::prompt_noticed>(&event.value)) {
        m_pool.on_peer_prompt(prompt->notice, now);
    }
    else if (const auto* lost = std::get_if<node_event::peer_lost>(&event.value)) {
        m_address_book.on_lost(lost->node);
        m_pool.forget_peer(lost->node);
        update_node_count(now);
    }
    else if (const auto* listed = std::get_if<node_event::nodes_listed>(&event.value)) {
        m_node_count.on_listed(listed->count);
        update_node_count(now);
    }
    else if (const auto* order = std::get_if<node_event::rollout_ordered>(&event.value)) {
        m_runner.outcomes().start_counting(order->order);
    }
    else if (const auto* divided = std::get_if<node_event::version_split_changed>(&event.value)) {
        m_pool.set_version_split(divided->service,
                                 divided->split ? std::optional(*divided->split) : std::nullopt);
        if (divided->split)
            m_runner.outcomes().set_stable(divided->service, divided->split->stable);
    }
    else if (const auto* offset =
                 std::get_if<node_event::wall_clock_offset_changed>(&event.value)) {
        m_runner.set_true_time_offset(offset->offset);
    }
    else if (std::holds_alternative<node_event::drain_requested>(event.value) &&
             m_drain_started_at == absl::InfiniteFuture()) {
        m_drain_started_at = now;
        m_runner.begin_shutdown(now + time_for_responses(),
                                now + max_address_age() - max_signal_delay);
        m_callers.close_after_responses();
        log_event(event_id::drain_started, {{"under_way", absl::StrCat(m_runner.active_count())}});
        m_peers.publish(make_local_state(now));
    }
}

void forwarder::handle_beacon(const node_event::peer_heard& heard, absl::Time now)
{
    const node_beacon& beacon = *heard.beacon;
    m_address_book.on_beacon(beacon);
    // The counters of a new process start at zero.
    if (!heard.previous)
        m_pool.forget_peer(beacon.node);
    m_pool.set_peer_load(beacon.node, beacon.loads, now);
    m_runner.quarantine().on_peer_suspicions(beacon.suspicions, now);
    record_peer_admissions(heard, now);
    m_runner.quota().on_peer_levels(beacon.quota_levels, now);
    update_node_count(now);
}

void forwarder::record_peer_admissions(const node_event::peer_heard& heard, absl::Time now)
{
    const node_beacon& beacon = *heard.beacon;
    m_runner.quota().on_peer_report(beacon.node,
                                    {.started_us = beacon.started_us,
                                     .admitted = beacon.admitted,
                                     .recent_share = recent_share(beacon, now),
                                     .leaving = beacon.leaving},
                                    now);
}

// The first beacon received from a process that is already running carries totals since its start.
// Returns the share of them that it admitted since this node's start, if it admits evenly.
double forwarder::recent_share(const node_beacon& beacon, absl::Time now) const
{
    const absl::Duration own_age = now - m_started_at;
    const absl::Duration peer_age = absl::Microseconds(beacon.wall_us - beacon.started_us);
    if (beacon.sequence <= 1 || peer_age <= own_age)
        return 1;
    return own_age > max_catch_up_time ? 0 : absl::FDivDuration(own_age, peer_age);
}

void forwarder::update_node_count(absl::Time now)
{
    const int ready_nodes = m_address_book.ready_count() + 1;
    m_runner.set_node_count(ready_nodes, m_node_count.count(ready_nodes, now));
    m_pool.gate().set_node_count(m_node_count.upper_bound(m_address_book.known_count() + 1, now),
                                 now);
}

// During the usual interval of beacons, requests with a suspect prompt part would crash further
// endpoints.
void forwarder::publish_urgent_suspicions(absl::Time now)
{
    m_has_urgent_suspicions |= m_runner.quarantine().take_urgent_update();
    if (!m_has_urgent_suspicions || now < m_next_urgent_publication)
        return;
    m_has_urgent_suspicions = false;
    m_next_urgent_publication = now + min_urgent_publication_interval;
    m_peers.publish(make_local_state(now), true);
}

void forwarder::run_periodic_tasks(absl::Time now)
{
    m_next_periodic_run = now + periodic_task_interval;
    m_callers.tick(now);
    m_endpoints.tick(now);
    update_node_count(now);
    local_state state = make_local_state(now);
    if (now >= m_next_report)
        report_local_state(state, now);
    m_peers.publish(std::move(state));
    advance_drain(now);
}

local_state forwarder::make_local_state(absl::Time now) const
{
    return {.ready = is_ready(),
            .leaving = m_drain_started_at != absl::InfiniteFuture(),
            .admitted = m_runner.quota().admitted(),
            .quota_levels = m_runner.quota().levels(now),
            .loads = m_pool.own_load(now),
            .requested_prompt_tokens = m_runner.requested_prompt_tokens(),
            .outcomes = m_runner.outcomes().snapshot(),
            .usage = m_runner.usage().recent_reports(),
            .suspicions = m_runner.quarantine().suspicions(now)};
}

void forwarder::report_local_state(const local_state& state, absl::Time now)
{
    m_next_report = now + report_interval;
    m_runner.quota().on_exchange(now);
    m_control.on_event(
        {node_event::local_counters_updated{std::make_shared<const local_state>(state)}});
    m_counters.set("chivedeal_requests_under_way", static_cast<double>(m_runner.active_count()));
    report_shed_callers();
    m_counters.set("chivedeal_quota_silent_peers",
                   static_cast<double>(m_runner.quota().silent_peers()));
    m_counters.set("chivedeal_caller_connections", static_cast<double>(m_callers.size()));
    m_pool.gate().recompute_latest_cold_end();
    m_counters.set("chivedeal_cold_endpoints",
                   static_cast<double>(m_pool.gate().cold_count(m_time.now())));
    m_counters.set("chivedeal_endpoint_connections", static_cast<double>(m_endpoints.size()));
    m_counters.set("chivedeal_endpoints_slowed", m_pool.slowed_endpoints(now));
    m_counters.set("chivedeal_endpoint_connections_opened_total",
                   static_cast<double>(m_endpoints.opened()));
}

// One line for all connections since the last report, so that many of them don't fill the log.
void forwarder::report_shed_callers()
{
    const guard::shed_counts shed = m_callers.shed();
    m_counters.set("chivedeal_caller_buffered_bytes",
                   static_cast<double>(m_callers.buffered_bytes()));
    m_counters.set("chivedeal_retries_shed_total", static_cast<double>(shed.retries));
    m_counters.set(R"(chivedeal_callers_shed_total{reason="memory"})",
                   static_cast<double>(shed.for_memory));
    m_counters.set(R"(chivedeal_callers_shed_total{reason="connections"})",
                   static_cast<double>(shed.for_connections));
    if (shed == m_reported_shed)
        return;
    log_event(
        event_id::callers_shed,
        {{"for_memory", absl::StrCat(shed.for_memory - m_reported_shed.for_memory)},
         {"retries", absl::StrCat(shed.retries - m_reported_shed.retries)},
         {"for_connections", absl::StrCat(shed.for_connections - m_reported_shed.for_connections)},
         {"connections", absl::StrCat(m_callers.size())},
         {"buffered_bytes", absl::StrCat(m_callers.buffered_bytes())}});
    m_reported_shed = shed;
}

void forwarder::advance_drain(absl::Time now)
{
    if (m_drain_started_at == absl::InfiniteFuture() || m_drained)
        return;
    const absl::Duration elapsed = now - m_drain_started_at;
    const absl::Duration last_response = time_for_responses();
    if (elapsed < std::min(last_response, max_address_age() + periodic_task_interval))
        return;
    m_callers.close_idle(now);
    if (m_runner.active_count() > 0) {
        if (elapsed < last_response)
            return;
        m_cut_off_requests += m_runner.active_count();
        m_runner.end_all(now);
        return;
    }
    // The exit discards output that is still buffered, and resets connections whose callers go on
    // sending, with what the kernel has not delivered.
    const bool has_unfinished = m_callers.unsent().connections > 0 || m_callers.has_resumable();
    if (elapsed < m_settings.shutdown_grace - exit_margin && has_unfinished)
        return;
    m_drained = true;
    log_drain_end(now);
    m_on_drained();
}

// The node stops at once, for example because a duty has failed.
void forwarder::end_without_drain(absl::Time now)
{
    m_cut_off_requests += m_runner.active_count();
    m_runner.end_all(now);
    if (m_drain_started_at != absl::InfiniteFuture())
        log_drain_end(now);
}

void forwarder::log_drain_end(absl::Time now) const
{
    const unsent_output unsent = m_callers.unsent();
    const bool complete = m_drained && m_cut_off_requests == 0 && unsent.connections == 0;
    log_event(event_id::drain_finished,
              {{"complete", complete ? "yes" : "no"},
               {"elapsed_ms", absl::StrCat(absl::ToInt64Milliseconds(now - m_drain_started_at))},
               {"cut_off", absl::StrCat(m_cut_off_requests)},
               {"under_way", absl::StrCat(m_runner.active_count())},
               {"unsent_connections", absl::StrCat(unsent.connections)},
               {"unsent_bytes", absl::StrCat(unsent.bytes)}});
}

absl::Duration forwarder::time_for_responses() const
{
    return m_settings.shutdown_grace - exit_margin - final_response_margin;
}

absl::Duration forwarder::max_address_age() const
{
    return m_settings.address_ttl * address_ttl_factor;
}

bool forwarder::is_ready() const
{
    return m_runner.has_config() && m_endpoints_loaded &&
           m_drain_started_at == absl::InfiniteFuture();
}

void forwarder::on_request(std::uint64_t connection, int listener, http_request request,
                           absl::Time started, absl::Time now)
{
    switch (listener) {
    case front:
        return m_runner.on_request(connection, std::move(request), started, now);
    case ready:
        if (request.target != m_format.ready_path())
            return respond_with_text(connection, 404, "text/plain", "", now);
        return respond_with_text(connection, is_ready() ? 200 : 503, "text/plain", "", now);
    case directory:
        return respond_to_directory_request(connection, request.target, now);
    default:
        return respond_with_text(connection, 200, "text/plain; version=0.0.4", m_counters.expose(),
                                 now);
    }
}

void forwarder::respond_to_directory_request(std::uint64_t connection, const std::string& target,
                                             absl::Time now)
{
    if (target.substr(0, target.find('?')) != m_format.directory_path())
        return respond_with_text(connection, 404, "text/plain", "", now);
    const region_id region(query_value(target, m_format.region_parameter()));
    address_book book = m_address_book;
    if (is_ready())
        book.on_beacon({.node = m_settings.node,
                        .front_address = m_settings.front,
                        .region = m_settings.region,
                        .ready = true});
    std::vector<address> fronts;
    const auto homes = m_index
                           ? m_index->homes_of_host(query_value(target, m_format.host_parameter()))
                           : regions::home_regions();
    if (homes.is_restricted())
        fronts = book.ready_fronts(region, homes);
    if (fronts.empty())
        fronts = book.ready_fronts(region, min_regional_nodes);
    if (fronts.empty())
        return respond_with_text(connection, 503, "text/plain", "", now);
    respond_with_text(connection, 200, "application/json",
                      m_format.encode_addresses(fronts, m_settings.address_ttl), now);
}

void forwarder::respond_with_text(std::uint64_t connection, int status, const std::string& type,
                                  const std::string& body, absl::Time now)
{
    m_callers.respond(connection, {.status = status, .fields = {{"Content-Type", type}}}, body,
                      now);
}

void forwarder::on_caller_disconnected(std::uint64_t connection, absl::Time now)
{
    m_runner.on_caller_disconnected(connection, now);
}

void forwarder::on_caller_writable(std::uint64_t connection)
{
    m_runner.on_caller_writable(connection);
}

void forwarder::on_release_requested(std::uint64_t connection, absl::Time /*now*/)
{
    m_runner.on_release_requested(connection);
}

rejection forwarder::make_rejection(int status) const
{
    if (status != 503)
        return {};
    return {.fields = {{"Retry-After", format_retry_after(shed_retry_after)}}, .body = {}};
}

void forwarder::on_shed(std::uint64_t connection, absl::Time now)
{
    m_runner.on_shed(connection, now);
}

} // namespace chivedeal::forward
