#include "chivedeal/control/placement_policy.hpp"

#include "chivedeal/control/placement_snapshot.hpp"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chivedeal::control {

namespace {

constexpr double seconds_per_hour = 3600;

bool is_active_for(const placed_instance& instance, const version_demand& demand)
{
    return instance.service == demand.service && instance.version == demand.version &&
           (instance.phase == instance_phase::starting || instance.phase == instance_phase::live);
}

const pool_offer* find_offer(const placement_snapshot& snapshot, const instance_pool& pool)
{
    for (const pool_offer& offer : snapshot.offers)
        if (offer.pool == pool)
            return &offer;
    return nullptr;
}

bool allows_class(const version_demand& demand, const std::string& machine_class)
{
    return demand.classes.empty() || std::find(demand.classes.begin(), demand.classes.end(),
                                               machine_class) != demand.classes.end();
}

// The tolerance keeps rounding errors in sums of capacities and headrooms from starting an
// instance.
bool covers(double amount, double target) { return amount >= target * (1 - 1e-9); }

int instances_needed(double missing_capacity, const pool_offer& offer)
{
    // A fraction below a millionth of an instance is a rounding error.
    return missing_capacity <= 0
               ? 0
               : static_cast<int>(std::ceil(missing_capacity / offer.capacity - 1e-6));
}

} // namespace

double placement_policy::capacity::after_worst_zone_loss() const
{
    double sum = on_demand;
    double worst = 0;
    for (const auto& [zone, amount] : reclaimable) {
        sum += amount;
        worst = std::max(worst, amount);
    }
    return sum - worst;
}

std::vector<placement_command> placement_policy::handle(const placement_snapshot& snapshot,
                                                        absl::Time now)
{
    std::vector<placement_command> out;
    double queued_bytes = 0;
    for (const placed_instance& instance : snapshot.instances) {
        if (instance.phase == instance_phase::drained)
            out.emplace_back(stop_instance{.instance = instance.id});
        if (instance.phase != instance_phase::starting)
            continue;
        for (const version_demand& demand : snapshot.demands)
            if (is_active_for(instance, demand))
                queued_bytes += static_cast<double>(demand.weights_bytes);
    }
    const double max_queued_bytes = m_options.weight_store_bytes_per_second *
                                    absl::ToDoubleSeconds(m_options.max_load_queue_time);
    for (const version_demand& demand : snapshot.demands) {
        capacity current;
        for (const placed_instance& instance : snapshot.instances) {
            const pool_offer* offer = find_offer(snapshot, instance.pool);
            if (!is_active_for(instance, demand) || offer == nullptr)
                continue;
            (instance.pool.reclaimable ? current.reclaimable[instance.pool.zone]
                                       : current.on_demand) += offer->capacity;
        }
        for (const start_instance& start : plan_starts(snapshot, demand, current, now)) {
            // The first load is always admitted; otherwise weights larger than the limit would
            // never be loaded.
            const auto bytes = static_cast<double>(demand.weights_bytes);
            if (queued_bytes > 0 && queued_bytes + bytes > max_queued_bytes)
                break;
            queued_bytes += bytes;
            out.emplace_back(start);
        }
        if (const auto drain = plan_drain(snapshot, demand, current, now))
            out.emplace_back(*drain);
    }
    return out;
}

void placement_policy::on_start_refused(const instance_pool& pool, absl::Time now)
{
    const auto previous = m_backoffs.find(pool);
    // The starts of one decision are refused together and extend the backoff only once.
    if (previous != m_backoffs.end() && now < previous->second.until)
        return;
    const absl::Duration wait = previous == m_backoffs.end()
                                    ? m_options.initial_backoff
                                    : std::min(previous->second.wait * 2, m_options.max_backoff);
    m_backoffs[pool] = {.until = now + wait, .wait = wait};
}

// With k zones, any k-1 of them have to cover the demand, so an even spread needs k/(k-1) times the
// demand. Tries every k over the k cheapest zones; capacity that already exists costs nothing.
std::vector<start_instance> placement_policy::plan_starts(const placement_snapshot& snapshot,
                                                          const version_demand& demand,
                                                          const capacity& current,
                                                          absl::Time now) const
{
    const double target = demand.required_capacity * m_options.start_headroom;
    // The cheapest offer of each zone, ordered by cost.
    std::vector<pool_offer> zones;
    for (const pool_offer& offer : usable_offers(snapshot, demand, true, now))
        if (std::none_of(zones.begin(), zones.end(), [&](const pool_offer& other) {
                return other.pool.zone == offer.pool.zone;
            }))
            zones.push_back(offer);
    // On-demand capacity is not counted if reclaimable instances can replace it.
    capacity retained = current;
    if (zones.size() >= 2)
        retained.on_demand = 0;
    if (covers(retained.after_worst_zone_loss(), target))
        return {};

    std::vector<pool_offer> cheapest_plan;
    double lowest_cost = std::numeric_limits<double>::infinity();
    for (std::size_t zone_count = 2; zone_count <= zones.size(); ++zone_count) {
        const double capacity_per_zone =
            (target - retained.on_demand) / static_cast<double>(zone_count - 1);
        std::vector<pool_offer> added;
        capacity total = retained;
        double cost = 0;
        for (std::size_t i = 0; i < zone_count; ++i) {
            double& amount = total.reclaimable[zones[i].pool.zone];
            for (int n = instances_needed(capacity_per_zone - amount, zones[i]); n > 0; --n) {
                added.push_back(zones[i]);
                amount += zones[i].capacity;
                cost += unit_cost(zones[i], demand) * zones[i].capacity;
            }
        }
        // Rounding up in each zone may add more instances than needed; removes the most expensive
        // first.
        for (std::size_t i = added.size(); i-- > 0;) {
            capacity remaining = total;
            remaining.reclaimable[added[i].pool.zone] -= added[i].capacity;
            if (!covers(remaining.after_worst_zone_loss(), target))
                continue;
            total = remaining;
            cost -= unit_cost(added[i], demand) * added[i].capacity;
            added.erase(added.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (cost < lowest_cost) {
            lowest_cost = cost;
            cheapest_plan = added;
        }
    }
    std::string reason = absl::StrFormat("wanted=%.3g have=%.3g zones=%d", target,
                                         current.after_worst_zone_loss(), zones.size());
    if (zones.size() < 2) {
        const auto on_demand = usable_offers(snapshot, demand, false, now);
        if (!on_demand.empty())
            cheapest_plan.assign(
                instances_needed(target - current.after_worst_zone_loss(), on_demand.front()),
                on_demand.front());
        reason += " reclaimable_not_enough";
    }
    std::vector<start_instance> out;
    for (const pool_offer& offer : cheapest_plan)
        out.push_back({.pool = offer.pool,
                       .service = demand.service,
                       .version = demand.version,
                       .reason = reason});
    return out;
}

std::optional<drain_instance> placement_policy::plan_drain(const placement_snapshot& snapshot,
                                                           const version_demand& demand,
                                                           const capacity& current, absl::Time now)
{
    const placed_instance* most_expensive = nullptr;
    double highest_cost = 0;
    for (const placed_instance& instance : snapshot.instances) {
        const pool_offer* offer = find_offer(snapshot, instance.pool);
        if (!is_active_for(instance, demand) || instance.phase != instance_phase::live ||
            offer == nullptr)
            continue;
        capacity remaining = current;
        (instance.pool.reclaimable ? remaining.reclaimable[instance.pool.zone]
                                   : remaining.on_demand) -= offer->capacity;
        // An on-demand instance can be drained as soon as that would not trigger a start.
        const double target =
            demand.required_capacity *
            (instance.pool.reclaimable ? m_options.stop_headroom : m_options.start_headroom);
        if (!covers(remaining.after_worst_zone_loss(), target) ||
            unit_cost(*offer, demand) <= highest_cost)
            continue;
        most_expensive = &instance;
        highest_cost = unit_cost(*offer, demand);
    }
    const version_key key(demand.service, demand.version);
    if (most_expensive == nullptr) {
        m_surplus_since.erase(key);
        return std::nullopt;
    }
    const absl::Time since = m_surplus_since.try_emplace(key, now).first->second;
    if (now - since < m_options.stop_delay)
        return std::nullopt;
    return drain_instance{.instance = most_expensive->id,
                          .reason =
                              absl::StrFormat("demand=%.3g have=%.3g", demand.required_capacity,
                                              current.after_worst_zone_loss())};
}

std::vector<pool_offer> placement_policy::usable_offers(const placement_snapshot& snapshot,
                                                        const version_demand& demand,
                                                        bool reclaimable, absl::Time now) const
{
    std::vector<pool_offer> out;
    for (const pool_offer& offer : snapshot.offers) {
        const auto backoff_entry = m_backoffs.find(offer.pool);
        if (offer.pool.reclaimable == reclaimable && offer.capacity > 0 &&
            allows_class(demand, offer.pool.machine_class) &&
            (backoff_entry == m_backoffs.end() || now >= backoff_entry->second.until))
            out.push_back(offer);
    }
    std::stable_sort(out.begin(), out.end(), [&](const pool_offer& a, const pool_offer& b) {
        return unit_cost(a, demand) < unit_cost(b, demand);
    });
    return out;
}

// Hourly price per unit of capacity. Each expected reclaim adds the cost of the time in which the
// replacement is paid for but does not serve yet.
double placement_policy::unit_cost(const pool_offer& offer, const version_demand& demand) const
{
    const double start_hours = absl::ToDoubleHours(m_options.boot_time) +
                               static_cast<double>(demand.weights_bytes) /
                                   m_options.weight_store_bytes_per_second / seconds_per_hour;
    return offer.hourly_price * (1 + m_hazards.hourly_rate(offer.pool) * start_hours) /
           offer.capacity;
}

} // namespace chivedeal::control
