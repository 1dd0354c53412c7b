#include "chivedeal/control/placement_planner.hpp"

#include "chivedeal/membership/bad_version.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::control {

namespace {

// A wave of reclaims reaches the instances of a pool within seconds and counts as one reclaim.
constexpr absl::Duration reclaim_wave_duration = absl::Minutes(1);
// Longest time between two views that counts as exposure: a node that was paused has not observed
// the instances during the pause.
constexpr absl::Duration max_exposure = absl::Minutes(1);

instance_pool pool_of(const membership::endpoint& endpoint)
{
    return {.zone = endpoint.zone,
            .machine_class = endpoint.machine_class,
            .reclaimable = endpoint.reclaimable};
}

// Whether the version serves the traffic now or is the target of an open move.
bool is_current_or_move_target(const state::cluster_state& state, const service_id& service,
                               const version_id& version)
{
    const auto current = state.current_versions.find(service);
    if (current != state.current_versions.end() && current->second == version)
        return true;
    const auto move = state.moves.find(service);
    return move != state.moves.end() && move->second->status == state::move_status::open &&
           move->second->to == version;
}

} // namespace

bool has_placed_service(const state::cluster_state& state)
{
    return std::any_of(state.services.begin(), state.services.end(),
                       [](const auto& entry) { return entry.second->max_endpoints > 0; });
}

placement_planner::placement_planner(options settings)
    : m_options(std::move(settings)), m_policy(m_options.policy)
{}

void placement_planner::handle(const placement_event& event, absl::Time now)
{
    if (const auto* refused = std::get_if<pool_start_refused>(&event))
        m_policy.on_start_refused(refused->pool, now);
    if (const auto* started = std::get_if<pool_start_succeeded>(&event))
        m_policy.on_started(started->pool);
    const auto* load = std::get_if<load_sample>(&event);
    if (load == nullptr)
        return;
    load_entry& entry = m_loads[load->endpoint];
    const absl::Time measured_at = now - load->age;
    if (measured_at <= entry.measured_at)
        return;
    const double utilization = static_cast<double>(load->open_requests) / std::max(1, load->slots);
    const double weight = 1 - std::exp(-absl::FDivDuration(measured_at - entry.measured_at,
                                                           m_options.load_averaging_window));
    entry = {.utilization = entry.utilization + weight * (utilization - entry.utilization),
             .open_requests = load->open_requests,
             .measured_at = measured_at};
}

void placement_planner::observe(const membership::membership_view& view, absl::Time now)
{
    const absl::Duration elapsed = std::min(now - m_observed_at, max_exposure);
    m_observed_at = now;
    std::set<endpoint_id> listed;
    for (const membership::endpoint& endpoint : view.endpoints) {
        listed.insert(endpoint.id);
        m_known_endpoints.insert(endpoint.id);
        const instance_pool pool = pool_of(endpoint);
        m_policy.hazards().on_exposure(pool, 1, elapsed);
        if (endpoint.status != membership::endpoint_status::leaving ||
            !m_leaving_since.try_emplace(endpoint.id, now).second ||
            endpoint.reclaim_at == absl::InfiniteFuture())
            continue;
        const auto [last_reclaim, inserted] = m_last_reclaim.try_emplace(pool, now);
        if (inserted || now - last_reclaim->second > reclaim_wave_duration)
            m_policy.hazards().on_reclaim(pool);
        last_reclaim->second = now;
    }
    const auto is_gone = [&](const auto& entry) { return !listed.contains(entry.first); };
    std::erase_if(m_loads, is_gone);
    std::erase_if(m_leaving_since, is_gone);
}

placement_snapshot placement_planner::build_snapshot(const input& inputs, absl::Time now) const
{
    placement_snapshot snapshot;
    for (const pool_price& price : inputs.prices)
        if (price.region == m_options.region)
            snapshot.offers.push_back(
                {.pool = price.pool, .hourly_price = price.hourly_price, .capacity = 1});
    add_instances(inputs, now, snapshot);
    for (const auto& [name, service] : inputs.state->services)
        if (service->max_endpoints > 0)
            add_demands(inputs, *service, snapshot);
    return snapshot;
}

std::vector<placement_command>
placement_planner::decide(const input& inputs, const placement_snapshot& snapshot, absl::Time now)
{
    std::map<service_id, int> active_endpoints;
    for (const placed_instance& instance : snapshot.instances)
        if (instance.phase == instance_phase::starting || instance.phase == instance_phase::live)
            ++active_endpoints[instance.service];
    std::vector<placement_command> out;
    for (placement_command& command : m_policy.handle(snapshot, now)) {
        const auto* start = std::get_if<start_instance>(&command);
        if (start != nullptr && ++active_endpoints[start->service] >
                                    inputs.state->services.at(start->service)->max_endpoints)
            continue;
        out.push_back(std::move(command));
    }
    return out;
}

// A reclaim notice has a deadline. An endpoint that leaves without one is draining before a stop.
instance_phase placement_planner::phase_of(const membership::endpoint& endpoint,
                                           absl::Time now) const
{
    if (endpoint.status == membership::endpoint_status::live)
        return instance_phase::live;
    if (endpoint.reclaim_at != absl::InfiniteFuture())
        return instance_phase::leaving;
    const auto since = m_leaving_since.find(endpoint.id);
    const auto load = m_loads.find(endpoint.id);
    if (since == m_leaving_since.end() || load == m_loads.end() || load->second.open_requests > 0 ||
        load->second.measured_at < since->second + m_options.drain_settle_time ||
        load->second.measured_at > now)
        return instance_phase::draining;
    return instance_phase::drained;
}

// A start counts as an instance until the view contains it; from then on only the view counts.
void placement_planner::add_instances(const input& inputs, absl::Time now,
                                      placement_snapshot& snapshot) const
{
    const auto is_placed = [&](const service_id& name) {
        const auto service = inputs.state->services.find(name);
        return service != inputs.state->services.end() && service->second->max_endpoints > 0;
    };
    for (const membership::endpoint& endpoint : inputs.view->endpoints)
        if (endpoint.region == m_options.region && is_placed(endpoint.service))
            snapshot.instances.push_back({.id = instance_id(endpoint.id.str()),
                                          .pool = pool_of(endpoint),
                                          .service = endpoint.service,
                                          .version = endpoint.version,
                                          .phase = phase_of(endpoint, now)});
    const auto add_starting = [&](const order_start& order, const instance_id& instance) {
        if (is_placed(order.service))
            snapshot.instances.push_back({.id = instance,
                                          .pool = order.pool,
                                          .service = order.service,
                                          .version = order.version,
                                          .phase = instance_phase::starting});
    };
    for (const order_start& order : inputs.orders->unlisted_starts)
        add_starting(order, instance_id(to_string(order.token)));
    for (const listed_start& start : inputs.orders->listed_starts)
        if (!m_known_endpoints.contains(endpoint_id(start.instance.str())))
            add_starting(start.order, start.instance);
}

void placement_planner::add_demands(const input& inputs, const state::service& service,
                                    placement_snapshot& snapshot) const
{
    for (const auto& [key, version] : inputs.state->versions) {
        if (key.first != service.name)
            continue;
        double required_capacity = 0;
        for (const membership::endpoint& endpoint : inputs.view->endpoints)
            if (const auto load = m_loads.find(endpoint.id);
                load != m_loads.end() && endpoint.region == m_options.region &&
                endpoint.service == service.name && endpoint.version == version->name)
                required_capacity += load->second.utilization;
        // The declared minimum needs no headroom, so the headroom that the policy adds is divided
        // out.
        if (is_current_or_move_target(*inputs.state, service.name, version->name))
            required_capacity = std::max(required_capacity,
                                         service.min_endpoints / m_options.policy.start_headroom);
        if (membership::is_found_bad(*inputs.state, *inputs.view, *version))
            required_capacity = 0;
        snapshot.demands.push_back({.service = service.name,
                                    .version = version->name,
                                    .required_capacity = required_capacity,
                                    .weights_bytes = version->weights_bytes,
                                    .classes = version->classes});
    }
}

} // namespace chivedeal::control
