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
// Part of the time until a window's report is due for which silent nodes are waited for. Cuts mostly
// heal within it; counts that wait are lost when all nodes are killed.
constexpr double report_patience = 0.5;
constexpr absl::Duration report_retry = absl::Milliseconds(500);
constexpr absl::Duration registration_interval = absl::Seconds(30);
constexpr absl::Duration registration_retry = absl::Seconds(1);
// Old endpoints have stopped by then, and the version split has no use any more.
constexpr absl::Duration forget_done_after = absl::Seconds(8);
// Part of the platform's bound on a new version's share that the nodes use.
constexpr double exposure_use = 0.5;

// Beacons tell all nodes of a new holder within a quarter of the spread, also among many nodes.
constexpr double lease_stagger = 0.25;

absl::Duration stagger_of(const node_settings& settings)
{
    const std::string& name = settings.node.str();
    const double part =
        static_cast<double>(XXH3_64bits(name.data(), name.size()) >> 11) / (1ULL << 53);
    return settings.lease_term * lease_stagger * part;
}

} // namespace

control_duties::control_duties(options parts)
    : m_settings(parts.settings),
      m_time(parts.time),
      m_store(parts.store),
      m_platform(parts.platform),
      m_format(parts.format),
      m_inbox(parts.inbox),
      m_forwarder(parts.forwarder),
      m_peers(parts.peers),
      m_lease({.self = parts.settings.node,
               .term = parts.settings.lease_term,
               .stagger = stagger_of(parts.settings)},
              parts.time.now()),
      m_windows(parts.settings.usage_window),
      m_true_time_offset(parts.time.wall_now() - parts.time.now()),
      m_usage({.window = parts.settings.usage_window,
               .patience = parts.settings.usage_due * report_patience})
{}

void control_duties::run()
{
    absl::Time next_tick = m_time.now();
    while (!m_inbox.closed()) {
        const absl::Time now = m_time.now();
        if (now >= next_tick) {
            tick(now);
            next_tick = m_time.now() + tick_interval;
        }
        if (const auto event =
                m_inbox.pop(std::max(absl::ZeroDuration(), next_tick - m_time.now())))
            take(*event, m_time.now());
    }
}

void control_duties::request_stop()
{
    m_inbox.close();
    m_store.stop();
    m_platform.stop();
}

void control_duties::take(const node_event& event, absl::Time now)
{
    if (const auto* heard = std::get_if<node_event::peer_heard>(&event.value)) {
        const node_beacon& beacon = *heard->beacon;
        if (beacon.lease_token)
            m_lease.on_peer_holds(*beacon.lease_token, now);
        const std::string process = absl::StrCat(beacon.node.str(), "/", beacon.started_us);
        m_demand.on_counts(process, beacon.asked_tokens, now);
        m_usage.on_counts(beacon.node, beacon.started_us, beacon.usage, now);
        take_outcomes(beacon.node, beacon.outcomes, now);
    }
    else if (const auto* own = std::get_if<node_event::local_counted>(&event.value)) {
        m_demand.on_counts(m_settings.node.str(), own->state->asked_tokens, now);
        m_usage.on_counts(m_settings.node, 0, own->state->usage, now);
        take_outcomes(m_settings.node, own->state->outcomes, now);
    }
    else if (const auto* changed = std::get_if<node_event::config_changed>(&event.value)) {
        m_scales.clear();
        for (const service_spec& service : changed->index->config().services)
            if (service.scale)
                m_scales[service.name] = *service.scale;
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
    else if (const auto* offset = std::get_if<node_event::true_time_changed>(&event.value)) {
        m_true_time_offset = offset->offset;
    }
    else if (const auto* order = std::get_if<node_event::rollout_ordered>(&event.value)) {
        const rollout_judge::options limits{.unproven_share =
                                                m_settings.unproven_share * exposure_use};
        rollout one{.judge = rollout_judge(limits, order->order, now)};
        const auto statuses = m_store.newest(topic::rollout_status);
        if (is_ok(statuses))
            for (const stored_record& record : get_value(statuses).records) {
                const auto known = m_format.decode_rollout_status(record);
                if (is_ok(known) && get_value(known).service == order->order.service &&
                    get_value(known).target == order->order.target)
                    one.judge.on_state(get_value(known).state);
            }
        m_rollouts.insert_or_assign(order->order.service, std::move(one));
    }
    else if (std::holds_alternative<node_event::drain_requested>(event.value)) {
        m_lease.release();
        m_peers.set_lease_token(std::nullopt);
    }
}

void control_duties::take_outcomes(const node_id& node,
                                   const std::vector<version_outcomes>& outcomes, absl::Time now)
{
    for (const version_outcomes& counted : outcomes) {
        const auto found = m_rollouts.find(counted.service);
        if (found == m_rollouts.end() || found->second.judge.order().offset != counted.order_offset)
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
    m_next_registration = now + registration_retry;
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
            m_peers.greet(get_value(parsed));
    }
    if (m_registered)
        m_next_registration = now + registration_interval;
}

void control_duties::advance_lease(absl::Time now)
{
    switch (m_lease.tick(now)) {
    case duty_lease::step::none:
        break;
    case duty_lease::step::read:
        read_control_log(now);
        break;
    case duty_lease::step::append:
        append_grant(now);
        break;
    }
    m_peers.set_lease_token(m_lease.held(m_time.now()));
}

bool control_duties::read_control_log(absl::Time now)
{
    auto batch = m_store.read(topic::lease, m_log.end(), absl::ZeroDuration());
    if (!is_ok(batch))
        return false;
    m_log.apply(get_value(batch));
    m_lease.on_read(m_log.holder(), m_log.token(), m_log.end(), now);
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
    const auto token = m_lease.held(now);
    if (!token)
        return std::nullopt;
    return duty_fence{.holder = m_settings.node, .token = *token};
}

void control_duties::report_usage(absl::Time now)
{
    const absl::Time true_now = now + m_true_time_offset;
    const std::int64_t oldest = m_windows.window_of(true_now - m_settings.usage_due);
    m_next_window = std::max(m_next_window, oldest);
    if (now < m_next_report_try || !fence(now))
        return;
    while (m_usage.is_complete(m_windows.end_of(m_next_window) - m_true_time_offset, now)) {
        if (!report_window(m_next_window, m_time.now())) {
            m_next_report_try = m_time.now() + report_retry;
            return;
        }
        ++m_next_window;
    }
}

bool control_duties::report_window(std::int64_t window, absl::Time now)
{
    if (const usage_report* planned = m_log.planned_report(window))
        return send_report(*planned, now);
    const usage_report total = m_usage.total(window);
    return plan_report(total, now) && send_report(total, m_time.now());
}

bool control_duties::plan_report(const usage_report& report, absl::Time now)
{
    if (!fence(now))
        return false;
    const auto appended =
        m_store.append(topic::lease, "", control_log::encode_report(report), m_log.end());
    // Also after an append without an answer the topic tells what happened.
    const bool known = read_control_log(m_time.now());
    const usage_report* planned = m_log.planned_report(report.window);
    return is_ok(appended) && known && planned != nullptr && *planned == report;
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
    const auto held = fence(now);
    if (!held) {
        // A later tenure begins with what it observes.
        m_planners.clear();
        return;
    }
    // A new process has heard of too few requests to give endpoints up, unless the system is new and
    // its lease the first.
    if (!m_endpoints_loaded || (held->token != 0 && !m_demand.covers_span(now)))
        return;
    for (const auto& [service, spec] : m_scales) {
        auto& planner = m_planners.try_emplace(service, fleet_planner::options{.service = service})
                            .first->second;
        const fleet_view view = view_of(service, spec, now);
        for (const fleet_order& order : planner.plan(view, spec, now))
            send_order(planner, order, m_time.now());
    }
}

fleet_view control_duties::view_of(const service_id& service, const scale_spec& spec,
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
    view.tokens_per_second = m_demand.tokens_per_second(service, now);
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
    for (auto& [service, one] : m_rollouts) {
        version_outcomes total;
        for (const auto& [node, counted] : one.outcomes) {
            total.target_good += counted.target_good;
            total.target_bad += counted.target_bad;
            total.other_good += counted.other_good;
            total.other_bad += counted.other_bad;
        }
        one.judge.on_outcomes(total, now);
        announce(service, one);
        if (one.judge.state() == rollout_state::done && one.done_at == absl::InfiniteFuture())
            one.done_at = now;
        if (!one.split_ended && now - one.done_at > forget_done_after) {
            one.split_ended = true;
            m_forwarder.on_event({node_event::version_decided{
                .service = service, .version = one.judge.order().target, .share = std::nullopt}});
        }
        if (fence(now))
            write_status(one);
    }
}

void control_duties::announce(const service_id& service, rollout& one)
{
    const double share = one.judge.share();
    if (share == one.announced_share || one.split_ended)
        return;
    one.announced_share = share;
    log_event(event_id::move_step_decided, {{"service", service.str()},
                                            {"version", one.judge.order().target.str()},
                                            {"share", absl::StrCat(share)}});
    m_forwarder.on_event({node_event::version_decided{
        .service = service, .version = one.judge.order().target, .share = share}});
}

void control_duties::write_status(rollout& one)
{
    if (one.written_any && one.written == one.judge.state())
        return;
    const rollout_status next{.service = one.judge.order().service,
                              .target = one.judge.order().target,
                              .state = one.judge.state(),
                              .order_offset = one.judge.order().offset};
    const auto written = m_store.append(topic::rollout_status, m_format.rollout_status_key(next),
                                        m_format.encode_rollout_status(next), std::nullopt);
    if (!is_ok(written))
        return;
    one.written_any = true;
    one.written = next.state;
    if (next.state != rollout_state::running)
        log_event(next.state == rollout_state::done ? event_id::move_done
                                                    : event_id::move_rolled_back,
                  {{"service", next.service.str()}, {"version", next.target.str()}});
}

} // namespace chivedeal::forward
