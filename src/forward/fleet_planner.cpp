#include "chivedeal/forward/fleet_planner.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

std::vector<fleet_order> fleet_planner::plan(const fleet_view& view, const scale_spec& spec,
                                             absl::Time now)
{
    std::vector<fleet_order> orders;
    if (view.zones.empty())
        return orders;
    const int zones = static_cast<int>(view.zones.size());
    detect_reclaims(view, now);
    confirm_orders();
    const int required = required_endpoints(view, spec);
    // The reclaimable endpoints that remain after the loss of one zone must be enough.
    const int surviving_zones = std::max(1, zones - 1);
    const int desired_reclaimable = std::clamp((required + surviving_zones - 1) / surviving_zones,
                                               spec.min_per_zone, spec.max_per_zone);

    int serving_reclaimable = 0;
    int expected_reclaimable = 0;
    for (const auto& [zone, counts] : view.zones) {
        serving_reclaimable += counts.reclaimable;
        const fleet_order order{.service = m_options.service,
                                .zone = zone,
                                .desired = desired_reclaimable,
                                .reclaimable = true};
        if (may_order(view, order, spec))
            add_order(orders, order, counts.reclaimable, spec, now);
        expected_reclaimable +=
            expected_serving(m_zones[zone].reclaimable, counts.reclaimable, spec, now);
    }
    // On-demand endpoints are ordered for the part of the load that reclaimable ones will not cover
    // soon, and kept until those serve.
    const bool at_risk = now - m_last_reclaim_at < m_options.reclaim_risk_period;
    const int at_risk_on_demand_count =
        at_risk ? static_cast<int>(
                      std::ceil(endpoints_for_load(view) * m_options.at_risk_on_demand_share))
                : 0;
    // The minimum capacity is provided by reclaimable endpoints only, as they are cheap; on-demand
    // endpoints are ordered for the load alone.
    const int load_endpoints =
        std::min(required, endpoints_for_load(view) + m_options.spare_endpoints);
    const auto ordered_by_zone = distribute_on_demand(
        view, spec, std::max(at_risk_on_demand_count, load_endpoints - expected_reclaimable));
    const auto kept_by_zone = distribute_on_demand(
        view, spec, std::max(at_risk_on_demand_count, load_endpoints - serving_reclaimable));
    for (const auto& [zone, counts] : view.zones) {
        const int current = std::max(
            counts.on_demand, m_zones[zone].on_demand.ordered_count.value_or(counts.on_demand));
        int desired = std::max(ordered_by_zone.at(zone), std::min(current, kept_by_zone.at(zone)));
        if (now - m_zones[zone].on_demand.increased_at < m_options.on_demand_scale_down_delay)
            desired = std::max(desired, m_zones[zone].on_demand.ordered_count.value_or(0));
        const fleet_order order{
            .service = m_options.service, .zone = zone, .desired = desired, .reclaimable = false};
        if (may_order(view, order, spec))
            add_order(orders, order, counts.on_demand, spec, now);
    }
    return orders;
}

// Tells reclaims from planned releases: the cloud reclaims all reclaimable endpoints of a zone at
// once, whereas a plan releases a few at a time.
void fleet_planner::detect_reclaims(const fleet_view& view, absl::Time now)
{
    for (const auto& [zone, counts] : view.zones) {
        zone_state& state = m_zones[zone];
        const bool reclaim_started = counts.reclaimable_leaving > state.previous_leaving;
        state.previous_leaving = counts.reclaimable_leaving;
        if (counts.reclaimable_leaving < 2 || counts.reclaimable_leaving < counts.reclaimable)
            continue;
        m_last_reclaim_at = now;
        // Endpoints ordered before the reclaim will not start.
        if (reclaim_started)
            state.reclaimable = {.retry_not_before = state.reclaimable.retry_not_before,
                                 .availability_unconfirmed =
                                     state.reclaimable.availability_unconfirmed};
    }
}

void fleet_planner::confirm_orders()
{
    for (auto& [zone, state] : m_zones)
        if (state.reclaimable.ordered_count)
            state.reclaimable.availability_unconfirmed = false;
}

int fleet_planner::endpoints_for_load(const fleet_view& view) const
{
    return static_cast<int>(std::ceil(view.tokens_per_second / m_options.tokens_per_endpoint));
}

int fleet_planner::required_endpoints(const fleet_view& view, const scale_spec& spec) const
{
    const int max_endpoints = spec.max_per_zone * static_cast<int>(view.zones.size());
    const int min_endpoints =
        static_cast<int>(std::ceil(m_options.min_capacity_share * max_endpoints));
    return std::min(std::max(min_endpoints, endpoints_for_load(view) + m_options.spare_endpoints),
                    max_endpoints);
}

bool fleet_planner::may_order(const fleet_view& view, const fleet_order& order,
                              const scale_spec& spec)
{
    const fleet_view::zone_counts& counts = view.zones.at(order.zone);
    const int serving = order.reclaimable ? counts.reclaimable : counts.on_demand;
    const int other_kind = order.reclaimable ? counts.on_demand : counts.reclaimable;
    const int granted = std::min(order.desired, spec.max_per_zone - other_kind);
    if (order.desired >= serving && granted < serving)
        return false;
    return !view.rollout_running ||
           order.desired >= std::max(serving, state_of(order).ordered_count.value_or(serving));
}

int fleet_planner::expected_serving(const kind_state& state, int serving, const scale_spec& spec,
                                    absl::Time now) const
{
    const bool is_order_pending =
        state.ordered_count && !state.availability_unconfirmed && now >= state.retry_not_before &&
        now - state.ordered_at < spec.boot_time + m_options.order_retry_delay;
    return is_order_pending ? std::max(serving, *state.ordered_count) : serving;
}

void fleet_planner::add_order(std::vector<fleet_order>& orders, const fleet_order& order,
                              int serving, const scale_spec& spec, absl::Time now)
{
    kind_state& state = state_of(order);
    if (now < state.retry_not_before)
        return;
    const bool is_overdue = now - state.ordered_at > spec.boot_time + m_options.order_retry_delay;
    const bool target_changed =
        state.ordered_count ? *state.ordered_count != order.desired : serving != order.desired;
    if (!target_changed && (serving == order.desired || !is_overdue))
        return;
    if (order.desired > state.ordered_count.value_or(serving))
        state.increased_at = now;
    state.ordered_count = order.desired;
    state.ordered_at = now;
    orders.push_back(order);
}

std::map<zone_id, int> fleet_planner::distribute_on_demand(const fleet_view& view,
                                                           const scale_spec& spec,
                                                           int endpoint_count) const
{
    std::map<zone_id, int> shares;
    std::vector<std::pair<double, zone_id>> by_price;
    for (const auto& [zone, counts] : view.zones) {
        shares[zone] = 0;
        const auto price = spec.zone_prices.find(zone);
        by_price.emplace_back(price == spec.zone_prices.end() ? 1 : price->second, zone);
    }
    std::sort(by_price.begin(), by_price.end());
    // Round robin over the zones, cheapest first, so that no single zone carries everything.
    for (bool assigned = true; endpoint_count > 0 && assigned;) {
        assigned = false;
        for (const auto& [price, zone] : by_price) {
            const int free_slots = spec.max_per_zone - view.zones.at(zone).reclaimable;
            if (endpoint_count <= 0 || shares[zone] >= free_slots)
                continue;
            ++shares[zone];
            --endpoint_count;
            assigned = true;
        }
    }
    return shares;
}

fleet_planner::kind_state& fleet_planner::state_of(const fleet_order& order)
{
    zone_state& zone = m_zones[order.zone];
    return order.reclaimable ? zone.reclaimable : zone.on_demand;
}

void fleet_planner::on_refused(const fleet_order& order, absl::Time now)
{
    kind_state& state = state_of(order);
    state.ordered_count.reset();
    state.availability_unconfirmed = true;
    state.retry_not_before = now + m_options.refused_retry_delay;
}

void fleet_planner::on_failed(const fleet_order& order)
{
    kind_state& state = state_of(order);
    state.ordered_count.reset();
    state.ordered_at = absl::InfinitePast();
}

} // namespace chivedeal::forward
