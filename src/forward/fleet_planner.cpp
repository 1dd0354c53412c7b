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
    note_reclaims(view, now);
    trust_orders();
    const int need = needed(view, spec);
    // What is left after the loss of one zone's reclaimable endpoints is enough.
    const int left_zones = std::max(1, zones - 1);
    const int wanted = std::clamp((need + left_zones - 1) / left_zones, spec.min, spec.max);

    int serving = 0;
    int coming = 0;
    for (const auto& [zone, counts] : view.zones) {
        serving += counts.reclaimable;
        const fleet_order order{
            .service = m_options.service, .zone = zone, .desired = wanted, .reclaimable = true};
        add_order(orders, order, counts.reclaimable, spec, now);
        coming += expected(m_zones[zone].reclaimable, counts.reclaimable, spec, now);
    }
    // On-demand endpoints are ordered for what reclaimable ones can't give soon, and kept until
    // those serve.
    const bool at_risk = now - m_reclaimed < m_options.reclaim_memory;
    const int cover = at_risk ? static_cast<int>(std::ceil(carrying(view) * m_options.cover)) : 0;
    // Reclaimable endpoints are cheap enough for the floor; on-demand ones only carry the load.
    const int load = std::min(need, carrying(view) + m_options.spare);
    const auto ordered = share_on_demand(view, spec, std::max(cover, load - coming));
    const auto kept = share_on_demand(view, spec, std::max(cover, load - serving));
    for (const auto& [zone, counts] : view.zones) {
        const int have =
            std::max(counts.on_demand, m_zones[zone].on_demand.ordered.value_or(counts.on_demand));
        int desired = std::max(ordered.at(zone), std::min(have, kept.at(zone)));
        if (now - m_zones[zone].on_demand.raised_at < m_options.hold)
            desired = std::max(desired, m_zones[zone].on_demand.ordered.value_or(0));
        add_order(
            orders,
            {.service = m_options.service, .zone = zone, .desired = desired, .reclaimable = false},
            counts.on_demand, spec, now);
    }
    return orders;
}

// The cloud takes a zone's reclaimable endpoints all at once; a plan gives up a few at a time.
void fleet_planner::note_reclaims(const fleet_view& view, absl::Time now)
{
    for (const auto& [zone, counts] : view.zones) {
        zone_state& state = m_zones[zone];
        const bool more = counts.reclaimable_leaving > state.leaving;
        state.leaving = counts.reclaimable_leaving;
        if (counts.reclaimable_leaving < 2 || counts.reclaimable_leaving < counts.reclaimable)
            continue;
        m_reclaimed = now;
        // What was ordered before doesn't come any more.
        if (more)
            state.reclaimable = {.dry_until = state.reclaimable.dry_until,
                                 .doubtful = state.reclaimable.doubtful};
    }
}

void fleet_planner::trust_orders()
{
    for (auto& [zone, state] : m_zones)
        if (state.reclaimable.ordered)
            state.reclaimable.doubtful = false;
}

int fleet_planner::carrying(const fleet_view& view) const
{
    return static_cast<int>(std::ceil(view.tokens_per_second / m_options.tokens_per_endpoint));
}

int fleet_planner::needed(const fleet_view& view, const scale_spec& spec) const
{
    const int most = spec.max * static_cast<int>(view.zones.size());
    const int floor = static_cast<int>(std::ceil(m_options.floor_share * most));
    return std::min(std::max(floor, carrying(view) + m_options.spare), most);
}

int fleet_planner::expected(const kind_state& state, int serving, const scale_spec& spec,
                            absl::Time now) const
{
    const bool booting = state.ordered && !state.doubtful && now >= state.dry_until &&
                         now - state.ordered_at < spec.boot_time + m_options.order_patience;
    return booting ? std::max(serving, *state.ordered) : serving;
}

void fleet_planner::add_order(std::vector<fleet_order>& orders, const fleet_order& order,
                              int serving, const scale_spec& spec, absl::Time now)
{
    kind_state& state = state_of(order);
    if (now < state.dry_until)
        return;
    const bool overdue = now - state.ordered_at > spec.boot_time + m_options.order_patience;
    const bool changed = state.ordered ? *state.ordered != order.desired : serving != order.desired;
    if (!changed && (serving == order.desired || !overdue))
        return;
    if (order.desired > state.ordered.value_or(serving))
        state.raised_at = now;
    state.ordered = order.desired;
    state.ordered_at = now;
    orders.push_back(order);
}

std::map<zone_id, int> fleet_planner::share_on_demand(const fleet_view& view,
                                                      const scale_spec& spec, int missing) const
{
    std::map<zone_id, int> shares;
    std::vector<std::pair<double, zone_id>> by_price;
    for (const auto& [zone, counts] : view.zones) {
        shares[zone] = 0;
        const auto price = spec.zone_prices.find(zone);
        by_price.emplace_back(price == spec.zone_prices.end() ? 1 : price->second, zone);
    }
    std::sort(by_price.begin(), by_price.end());
    // In turns, so that no zone carries all.
    for (bool given = true; missing > 0 && given;) {
        given = false;
        for (const auto& [price, zone] : by_price) {
            const int room = spec.max - view.zones.at(zone).reclaimable;
            if (missing <= 0 || shares[zone] >= room)
                continue;
            ++shares[zone];
            --missing;
            given = true;
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
    state.ordered.reset();
    state.doubtful = true;
    state.dry_until = now + m_options.dry_pause;
}

void fleet_planner::on_failed(const fleet_order& order)
{
    kind_state& state = state_of(order);
    state.ordered.reset();
    state.ordered_at = absl::InfinitePast();
}

} // namespace chivedeal::forward
