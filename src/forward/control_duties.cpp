#include "chivedeal/forward/control_duties.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/log_event.hpp"
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
constexpr absl::Duration registration_interval = absl::Seconds(30);
constexpr absl::Duration registration_retry_interval = absl::Seconds(1);
// After this time, the endpoints of the old version have stopped, so the traffic split has no
// effect.
constexpr absl::Duration completed_split_retention = absl::Seconds(8);
// Fraction of the platform's limit on a new version's share that the nodes use.
constexpr double exposure_limit_fraction = 0.5;

// Upper bound of the stagger as a fraction of the lease term. Beacons inform all nodes of a new
// holder within a quarter of the resulting spread, even in large clusters.
constexpr double max_stagger_fraction = 0.25;

absl::Duration lease_stagger(const node_settings& settings)
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
      m_lease({.self = dependencies.settings.node,
               .term = dependencies.settings.lease_term,
               .stagger = lease_stagger(dependencies.settings)},
              dependencies.time.now()),
      m_usage_windows(dependencies.settings.usage_window),
      m_true_time_offset(dependencies.time.wall_now() - dependencies.time.now()),
      m_usage_collector(
          {.window = dependencies.settings.usage_window,
           .max_wait = dependencies.settings.usage_report_deadline * report_wait_fraction})
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
        record_outcomes(beacon.node, beacon.outcomes, now);
    }
    else if (const auto* local = std::get_if<node_event::local_counters_updated>(&event.value)) {
        m_demand_meter.on_counts(m_settings.node.str(), local->state->requested_prompt_tokens, now);
        m_usage_collector.on_counts(m_settings.node, 0, local->state->usage, now);
        record_outcomes(m_settings.node, local->state->outcomes, now);
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
        const rollout_evaluator::options evaluator_options{
            .unproven_share = m_settings.unproven_share * exposure_limit_fraction};
        tracked_rollout rollout{.evaluator =
                                    rollout_evaluator(evaluator_options, ordered->order, now)};
        const auto statuses = m_store.newest(topic::rollout_status);
        if (is_ok(statuses))
            for (const stored_record& record : get_value(statuses).records) {
                const auto stored_status = m_format.decode_rollout_status(record);
                if (is_ok(stored_status) &&
                    get_value(stored_status).service == ordered->order.service &&
                    get_value(stored_status).target == ordered->order.target)
                    rollout.evaluator.on_state(get_value(stored_status).state);
            }
        m_rollouts.insert_or_assign(ordered->order.service, std::move(rollout));
    }
    else if (std::holds_alternative<node_event::drain_requested>(event.value)) {
        m_lease.release();
        m_peers.set_lease_token(std::nullopt);
    }
}

void control_duties::record_outcomes(const node_id& node,
                                     const std::vector<version_outcomes>& outcomes, absl::Time now)
{
    for (const version_outcomes& counted : outcomes) {
        const auto found = m_rollouts.find(counted.service);
        if (found == m_rollouts.end() ||
            found->second.evaluator.order().offset != counted.order_offset)
            continue;
        found->second.outcomes[node] = counted;
    }
    advance_rollouts(now);
}

void control_duties::tick(absl::Time now)
{
    register_node(now);
    advance_lease(now);
    if (m_settings.reports_usage)
        report_usage(now);
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
        m_registered =
            is_ok(m_store.append(topic::nodes, m_settings.node.str(), value, std::nullopt));
    }
    const auto nodes = m_store.newest(topic::nodes);
    if (!is_ok(nodes))
        return;
    for (const stored_record& record : get_value(nodes).records) {
        const auto parsed = parse_address(member_or(parse_json_object(record.value), "peers", ""));
        if (is_ok(parsed))
            m_peers.add_candidate(get_value(parsed));
    }
    m_forwarder.on_event(
        {node_event::nodes_listed{static_cast<int>(get_value(nodes).records.size())}});
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
    auto batch = m_store.read(topic::lease, m_control_log.end_offset(), absl::ZeroDuration());
    if (!is_ok(batch))
        return false;
    m_control_log.apply(get_value(batch));
    m_lease.on_read(m_control_log.holder(), m_control_log.holder_token(),
                    m_control_log.end_offset(), now);
    return true;
}

void control_duties::append_grant(absl::Time now)
{
    const auto appended = m_store.append(
        topic::lease, "", control_log::encode_grant(m_settings.node), m_lease.expected_end());
    if (!is_ok(appended)) {
        if (get_error(appended).code == result_code::conflict)
            m_lease.on_conflict(now);
        return;
    }
    m_lease.on_granted(get_value(appended), m_time.now());
    log_event(event_id::lease_acquired,
              {{"scope", "control"}, {"token", absl::StrCat(get_value(appended))}});
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
        return send_report(*planned, now);
    const usage_report total = m_usage_collector.total(window);
    return plan_report(total, now) && send_report(total, m_time.now());
}

bool control_duties::plan_report(const usage_report& report, absl::Time now)
{
    if (!fence(now))
        return false;
    const auto appended = m_store.append(topic::lease, "", control_log::encode_report(report),
                                         m_control_log.end_offset());
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
    // released. The first lease of a new system (token 0) is exempt, as no earlier load exists.
    if (!m_endpoints_loaded || (holder->token != 0 && !m_demand_meter.covers_averaging_window(now)))
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
        rollout != m_rollouts.end() && rollout->second.evaluator.state() == rollout_state::running;
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

void control_duties::advance_rollouts(absl::Time now)
{
    for (auto& [service, rollout] : m_rollouts) {
        version_outcomes total;
        for (const auto& [node, counted] : rollout.outcomes) {
            total.target_good += counted.target_good;
            total.target_bad += counted.target_bad;
            total.other_good += counted.other_good;
            total.other_bad += counted.other_bad;
        }
        rollout.evaluator.on_outcomes(total, now);
        apply_share(service, rollout);
        if (rollout.evaluator.state() == rollout_state::done &&
            rollout.done_at == absl::InfiniteFuture())
            rollout.done_at = now;
        if (!rollout.split_ended && now - rollout.done_at > completed_split_retention) {
            rollout.split_ended = true;
            m_forwarder.on_event(
                {node_event::version_share_changed{.service = service,
                                                   .version = rollout.evaluator.order().target,
                                                   .share = std::nullopt}});
        }
        if (fence(now))
            write_status(rollout);
    }
}

void control_duties::apply_share(const service_id& service, tracked_rollout& rollout)
{
    const double share = rollout.evaluator.share();
    if (share == rollout.applied_share || rollout.split_ended)
        return;
    rollout.applied_share = share;
    log_event(event_id::move_step_decided, {{"service", service.str()},
                                            {"version", rollout.evaluator.order().target.str()},
                                            {"share", absl::StrCat(share)}});
    m_forwarder.on_event({node_event::version_share_changed{
        .service = service, .version = rollout.evaluator.order().target, .share = share}});
}

void control_duties::write_status(tracked_rollout& rollout)
{
    if (rollout.status_written && rollout.written_state == rollout.evaluator.state())
        return;
    const rollout_status next{.service = rollout.evaluator.order().service,
                              .target = rollout.evaluator.order().target,
                              .state = rollout.evaluator.state(),
                              .order_offset = rollout.evaluator.order().offset};
    const auto appended = m_store.append(topic::rollout_status, m_format.rollout_status_key(next),
                                         m_format.encode_rollout_status(next), std::nullopt);
    if (!is_ok(appended))
        return;
    rollout.status_written = true;
    rollout.written_state = next.state;
    if (next.state != rollout_state::running)
        log_event(next.state == rollout_state::done ? event_id::move_done
                                                    : event_id::move_rolled_back,
                  {{"service", next.service.str()}, {"version", next.target.str()}});
}

} // namespace chivedeal::forward
