#include "chivedeal/forward/control_duties.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/era/answer_check.hpp"
#include "chivedeal/era/position.hpp"
#include "chivedeal/forward/duty_api.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr absl::Duration tick_interval = absl::Milliseconds(250);
// A usage report waits for silent nodes for at most this fraction of the time until it is due. Most
// network partitions end sooner. A longer wait would risk losing more counts, as those that haven't
// been reported are lost if all nodes are killed.
constexpr double report_wait_fraction = 0.5;
constexpr absl::Duration report_retry_interval = absl::Milliseconds(500);
// Planned reports are sent in the beacons for this long, so that each peer receives several.
constexpr absl::Duration announcement_time = absl::Milliseconds(1500);
constexpr std::size_t max_announced_reports = 16;
constexpr absl::Duration registration_interval = absl::Seconds(30);
constexpr absl::Duration registration_retry_interval = absl::Seconds(1);

// Upper bound of the stagger as a fraction of the lease term. Beacons inform all nodes of a new
// holder within a quarter of the resulting spread, even in large clusters.
constexpr double max_stagger_fraction = 0.25;

absl::Duration stagger_of(const node_settings& settings)
{
    const std::string& name = settings.node.str();
    const double fraction =
        static_cast<double>(XXH3_64bits(name.data(), name.size()) >> 11) / (1ULL << 53);
    return settings.lease_term * max_stagger_fraction * fraction;
}

} // namespace

control_duties::control_duties(options dependencies)
    : m_settings(dependencies.settings),
      m_time(dependencies.time),
      m_store(dependencies.store),
      m_platform(dependencies.platform),
      m_format(dependencies.format),
      m_event_queue(dependencies.queue),
      m_forwarder(dependencies.forwarder),
      m_peers(dependencies.peers),
      m_stagger(stagger_of(dependencies.settings)),
      m_lease({.self = dependencies.settings.node,
               .term = dependencies.settings.lease_term,
               .stagger = m_stagger},
              dependencies.time.now()),
      m_usage_windows(dependencies.settings.usage_window),
      m_true_time_offset(dependencies.time.wall_now() - dependencies.time.now()),
      m_usage_collector(
          {.window = dependencies.settings.usage_window,
           .max_wait = dependencies.settings.usage_report_deadline * report_wait_fraction}),
      m_epochs(dependencies.epochs != nullptr ? *dependencies.epochs : m_own_epochs),
      m_counters(dependencies.counters),
      m_report_guard(dependencies.time.now())
{}

void control_duties::run()
{
    absl::Time next_tick = m_time.now();
    while (!m_event_queue.closed()) {
        const absl::Time now = m_time.now();
        if (now >= next_tick) {
            tick(now);
            next_tick = m_time.now() + tick_interval;
        }
        if (const auto event =
                m_event_queue.pop(std::max(absl::ZeroDuration(), next_tick - m_time.now())))
            handle_event(*event, m_time.now());
    }
}

void control_duties::request_stop()
{
    m_event_queue.close();
    m_store.stop();
    m_platform.stop();
}

void control_duties::handle_event(const node_event& event, absl::Time now)
{
    if (const auto* peer = std::get_if<node_event::peer_heard>(&event.value)) {
        const node_beacon& beacon = *peer->beacon;
        if (beacon.lease_token)
            m_lease.on_holder_beacon(*beacon.lease_token, now);
        const std::string process = absl::StrCat(beacon.node.str(), "/", beacon.started_us);
        m_demand_meter.on_counts(process, beacon.requested_prompt_tokens, now);
        m_usage_collector.on_counts(beacon.node, beacon.started_us, beacon.usage, now);
        record_outcomes(process, beacon.outcomes, now);
        adopt_decisions(beacon.decided_rollouts, now);
        for (const era::planned_report& plan : beacon.planned_reports)
            m_control_log.add_planned(plan);
    }
    else if (const auto* local = std::get_if<node_event::local_counters_updated>(&event.value)) {
        m_demand_meter.on_counts(m_settings.node.str(), local->state->requested_prompt_tokens, now);
        m_usage_collector.on_counts(m_settings.node, 0, local->state->usage, now);
        const std::string process = absl::StrCat(m_settings.node.str(), "/", m_peers.started_us());
        record_outcomes(process, local->state->outcomes, now);
    }
    else if (const auto* changed = std::get_if<node_event::config_changed>(&event.value)) {
        m_scale_specs.clear();
        for (const service_spec& service : changed->index->config().services)
            if (service.scale)
                m_scale_specs[service.name] = *service.scale;
    }
    else if (const auto* endpoint = std::get_if<node_event::endpoint_changed>(&event.value)) {
        m_endpoints[endpoint->record->id] = *endpoint->record;
    }
    else if (const auto* removed = std::get_if<node_event::endpoint_removed>(&event.value)) {
        m_endpoints.erase(removed->id);
    }
    else if (std::holds_alternative<node_event::endpoints_loaded>(event.value)) {
        m_endpoints_loaded = true;
    }
    else if (const auto* offset =
                 std::get_if<node_event::wall_clock_offset_changed>(&event.value)) {
        m_true_time_offset = offset->offset;
    }
    else if (const auto* ordered = std::get_if<node_event::rollout_ordered>(&event.value)) {
        begin_rollout(ordered->order, now);
    }
    else if (std::holds_alternative<node_event::drain_requested>(event.value)) {
        hand_over_rollouts(now);
        m_lease.release();
        m_peers.set_lease_token(std::nullopt);
    }
}

bool control_duties::follow_epoch(absl::Time now)
{
    m_epochs.note(m_store.epoch());
    const std::uint64_t newest = m_epochs.newest();
    const auto kind = era::check_answer(m_store.epoch(), m_epoch, newest);
    if (newest > m_epoch)
        begin_epoch(newest, now);
    return kind == era::answer_kind::current;
}

void control_duties::begin_epoch(std::uint64_t epoch, absl::Time now)
{
    m_epoch = epoch;
    m_epoch_learned_at = now;
    m_control_log.begin_epoch(epoch);
    m_lease.on_restored();
    m_peers.set_lease_token(std::nullopt);
    m_is_log_read = false;
    m_report_guard.on_epoch(now);
    m_registered = false;
    m_next_registration = now;
    for (auto& [service, rollout] : m_rollouts)
        rollout.on_restored();
    m_status_end.reset();
    if (m_counters != nullptr)
        m_counters->set("chivedeal_store_epoch", static_cast<double>(epoch));
    if (!m_has_answer)
        return;
    m_report_guard.on_further_epoch();
    if (m_counters != nullptr)
        m_counters->add("chivedeal_store_restorations_total", 1);
    log_event(event_id::store_restored, {{"topic", "control"}, {"epoch", absl::StrCat(epoch)}});
}

void control_duties::count_rewritten(std::initializer_list<log_field> record)
{
    log_event(event_id::record_rewritten, record);
    if (m_counters != nullptr)
        m_counters->add("chivedeal_store_rewritten_records_total", 1);
}

// A former holder writes its plans again even if another node holds the lease now, as that node may
// not have heard of them.
void control_duties::rewrite_reports(absl::Time now)
{
    if (m_epoch == 0 || !(fence(now) || m_has_held_lease))
        return;
    if ((m_is_log_read && m_control_log.lost_reports().empty()) || !read_control_log(now))
        return;
    for (const era::planned_report& plan : m_control_log.lost_reports()) {
        const auto appended =
            m_store.append(topic::lease, "", control_log::encode_report(plan.report, plan.epoch),
                           m_control_log.end_offset());
        if (!follow_epoch(now) || !read_control_log(now) || !is_ok(appended))
            return;
        count_rewritten({{"topic", "lease"},
                         {"epoch", absl::StrCat(m_epoch)},
                         {"window", absl::StrCat(plan.report.window)}});
    }
}

void control_duties::publish_reports(absl::Time now)
{
    if (m_epoch == 0)
        return;
    std::vector<era::planned_report> about_to_send;
    const std::vector<era::planned_report> recent = m_control_log.known_reports();
    for (const era::planned_report& plan : recent) {
        const auto announced = m_announced_reports.find(plan.report.window);
        if (announced != m_announced_reports.end() && now < announced->second + announcement_time)
            about_to_send.push_back(plan);
    }
    m_peers.set_planned_reports(std::move(about_to_send), recent);
}

// Whether the peers had the time to learn of the planned report. If the store loses the plan and
// this node fails, one of them writes it again.
bool control_duties::is_published(std::int64_t window, absl::Time now)
{
    if (m_epoch == 0)
        return true;
    const auto announced = m_announced_reports.try_emplace(window, now);
    if (m_announced_reports.size() > max_announced_reports)
        m_announced_reports.erase(m_announced_reports.begin());
    if (announced.second)
        publish_reports(now);
    return m_control_log.is_stored(window) && m_report_guard.may_send(announced.first->second, now);
}

void control_duties::tick(absl::Time now)
{
    (void)follow_epoch(now);
    register_node(now);
    advance_lease(now);
    if (m_settings.reports_usage) {
        rewrite_reports(now);
        report_usage(now);
        publish_reports(now);
    }
    if (m_settings.orders_endpoints)
        plan_fleets(now);
    advance_rollouts(now);
}

void control_duties::register_node(absl::Time now)
{
    if (now < m_next_registration)
        return;
    m_next_registration = now + registration_retry_interval;
    if (!m_registered) {
        const std::string value = encode_json({{"peers", to_string(m_settings.peers)}});
        const auto appended =
            m_store.append(topic::nodes, m_settings.node.str(), value, std::nullopt);
        if (!follow_epoch(now))
            return;
        m_registered = is_ok(appended);
        if (m_registered && m_was_registered)
            count_rewritten({{"topic", "nodes"},
                             {"epoch", absl::StrCat(m_epoch)},
                             {"key", m_settings.node.str()}});
        m_was_registered = m_was_registered || m_registered;
    }
    const auto nodes = m_store.newest(topic::nodes);
    if (!follow_epoch(now) || !is_ok(nodes))
        return;
    m_has_answer = true;
    for (const stored_record& record : get_value(nodes).records) {
        const auto parsed = parse_address(member_or(parse_json_object(record.value), "peers", ""));
        if (is_ok(parsed))
            m_peers.add_candidate(get_value(parsed));
    }
    // After a restoration, nodes may be missing until they have registered again.
    const int listed = static_cast<int>(get_value(nodes).records.size());
    m_listed_nodes = m_epoch == 0 ? listed : std::max(m_listed_nodes, listed);
    m_forwarder.on_event({node_event::nodes_listed{m_listed_nodes}});
    if (m_registered)
        m_next_registration = now + registration_interval;
}

void control_duties::advance_lease(absl::Time now)
{
    switch (m_lease.tick(now)) {
    case duty_lease::action::none:
        break;
    case duty_lease::action::read:
        read_control_log(now);
        break;
    case duty_lease::action::append:
        append_grant(now);
        break;
    }
    m_peers.set_lease_token(m_lease.held_token(m_time.now()));
}

bool control_duties::read_control_log(absl::Time now)
{
    if (!read_lease_records(now))
        return false;
    m_has_answer = true;
    if (m_epoch > 0 && !m_is_log_read)
        m_report_guard.on_first_read(m_control_log.has_grant_of_epoch());
    m_is_log_read = true;
    m_lease.on_read(m_control_log.holder(), m_control_log.holder_token(),
                    m_control_log.end_offset(), now);
    return true;
}

bool control_duties::read_lease_records(absl::Time now)
{
    // A truncated batch only says where the retained records begin.
    for (int reads = 0; reads < 2; ++reads) {
        const auto batch =
            m_store.read(topic::lease, m_control_log.end_offset(), absl::ZeroDuration());
        if (!follow_epoch(now) || !is_ok(batch))
            return false;
        m_control_log.apply(get_value(batch));
        if (!get_value(batch).truncated)
            return true;
    }
    return false;
}

void control_duties::append_grant(absl::Time now)
{
    const auto appended =
        m_store.append(topic::lease, "", control_log::encode_grant(m_settings.node, m_epoch),
                       m_lease.expected_end());
    // A grant of an earlier epoch is void: its token may be lower than that of another node.
    if (!follow_epoch(now))
        return;
    if (!is_ok(appended)) {
        if (get_error(appended).code == result_code::conflict)
            m_lease.on_conflict(now);
        return;
    }
    const std::uint64_t token = era::make_position(m_epoch, get_value(appended));
    m_lease.on_granted(token, m_time.now());
    m_has_held_lease = true;
    log_event(event_id::lease_acquired, {{"scope", "control"}, {"token", absl::StrCat(token)}});
    read_control_log(m_time.now());
}

std::optional<duty_fence> control_duties::fence(absl::Time now) const
{
    const auto token = m_lease.held_token(now);
    if (!token)
        return std::nullopt;
    return duty_fence{.holder = m_settings.node, .token = *token};
}

void control_duties::report_usage(absl::Time now)
{
    const absl::Time true_now = now + m_true_time_offset;
    const std::int64_t oldest_due_window =
        m_usage_windows.window_of(true_now - m_settings.usage_report_deadline);
    m_next_window = std::max(m_next_window, oldest_due_window);
    if (now < m_next_report_attempt || !fence(now))
        return;
    while (m_usage_collector.is_complete(m_usage_windows.end_of(m_next_window) - m_true_time_offset,
                                         now)) {
        if (!report_window(m_next_window, m_time.now())) {
            m_next_report_attempt = m_time.now() + report_retry_interval;
            return;
        }
        ++m_next_window;
    }
}

bool control_duties::report_window(std::int64_t window, absl::Time now)
{
    if (const usage_report* planned = m_control_log.planned_report(window))
        return is_published(window, now) && send_report(*planned, now);
    if (!m_report_guard.may_plan(now))
        return false;
    if (m_report_guard.may_be_reported(m_usage_windows.end_of(window) - m_true_time_offset)) {
        log_event(event_id::usage_report_withheld,
                  {{"window", absl::StrCat(window)}, {"epoch", absl::StrCat(m_epoch)}});
        return true;
    }
    const usage_report total = m_usage_collector.total(window);
    return plan_report(total, now) && is_published(window, now) && send_report(total, m_time.now());
}

bool control_duties::plan_report(const usage_report& report, absl::Time now)
{
    if (!fence(now))
        return false;
    const auto appended = m_store.append(
        topic::lease, "", control_log::encode_report(report, m_epoch), m_control_log.end_offset());
    if (!follow_epoch(now))
        return false;
    // The topic is read even if the append got no response, since the report may have been stored.
    const bool log_read = read_control_log(m_time.now());
    const usage_report* planned = m_control_log.planned_report(report.window);
    return is_ok(appended) && log_read && planned != nullptr && *planned == report;
}

bool control_duties::send_report(const usage_report& report, absl::Time now)
{
    const auto holder = fence(now);
    if (!holder)
        return false;
    const status sent = m_platform.report_usage(report, *holder);
    std::int64_t requests = 0;
    for (const auto& [workspace, count] : report.counts)
        requests += count;
    log_event(is_ok(sent) ? event_id::usage_reported : event_id::usage_report_failed,
              {{"window", absl::StrCat(report.window)},
               {"requests", absl::StrCat(requests)},
               {"token", absl::StrCat(holder->token)},
               {"reason", is_ok(sent) ? "" : get_error(sent).message}});
    if (!is_ok(sent) && get_error(sent).code == result_code::stale_fence) {
        m_lease.on_fenced(now);
        log_event(event_id::lease_lost, {{"scope", "control"}, {"reason", "fenced"}});
    }
    return is_ok(sent);
}

void control_duties::plan_fleets(absl::Time now)
{
    const auto holder = fence(now);
    if (!holder) {
        // Orders from this term are outdated when the node holds the lease again, so planners start
        // anew from the observed endpoints.
        m_planners.clear();
        return;
    }
    // A process that has just started has seen too few requests to decide which endpoints can be
    // released. The first lease of a new system (offset 0) is exempt, as no earlier load exists.
    if (!m_endpoints_loaded ||
        (era::offset_of(holder->token) != 0 && !m_demand_meter.covers_averaging_window(now)))
        return;
    for (const auto& [service, spec] : m_scale_specs) {
        auto& planner = m_planners.try_emplace(service, fleet_planner::options{.service = service})
                            .first->second;
        const fleet_view view = make_fleet_view(service, spec, now);
        for (const fleet_order& order : planner.plan(view, spec, now))
            send_order(planner, order, m_time.now());
    }
}

fleet_view control_duties::make_fleet_view(const service_id& service, const scale_spec& spec,
                                           absl::Time now) const
{
    fleet_view view;
    for (const auto& [zone, region] : m_settings.zones)
        if (spec.zone_prices.count(zone) > 0)
            view.zones[zone] = {};
    for (const auto& [id, record] : m_endpoints) {
        if (record.service != service)
            continue;
        fleet_view::zone_counts& counts = view.zones[record.zone];
        if (!record.leaving)
            ++(record.reclaimable ? counts.reclaimable : counts.on_demand);
        else if (record.reclaimable)
            ++counts.reclaimable_leaving;
    }
    const auto rollout = m_rollouts.find(service);
    view.rollout_running =
        rollout != m_rollouts.end() && rollout->second.state() == rollout_state::running;
    view.tokens_per_second = m_demand_meter.tokens_per_second(service, now);
    return view;
}

void control_duties::send_order(fleet_planner& planner, const fleet_order& order, absl::Time now)
{
    const auto holder = fence(now);
    if (!holder)
        return planner.on_failed(order);
    const status sent = m_platform.order_endpoints(order, *holder);
    log_event(is_ok(sent) ? event_id::order_sent : event_id::order_refused,
              {{"service", order.service.str()},
               {"zone", order.zone.str()},
               {"desired", absl::StrCat(order.desired)},
               {"reclaimable", order.reclaimable ? "yes" : "no"},
               {"token", absl::StrCat(holder->token)},
               {"reason", is_ok(sent) ? "" : get_error(sent).message}});
    if (is_ok(sent))
        return;
    if (get_error(sent).code == result_code::start_refused)
        return planner.on_refused(order, now);
    planner.on_failed(order);
    if (get_error(sent).code == result_code::stale_fence) {
        m_lease.on_fenced(now);
        log_event(event_id::lease_lost, {{"scope", "control"}, {"reason", "fenced"}});
    }
}

} // namespace chivedeal::forward
