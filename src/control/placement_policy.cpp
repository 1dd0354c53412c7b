#include "chivedeal/control/placement_policy.hpp"

#include "chivedeal/control/placement_look.hpp"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chivedeal::control {

namespace {

bool runs(const placed_instance& instance, const version_demand& demand)
{
    return instance.service == demand.service && instance.version == demand.version &&
           (instance.phase == instance_phase::starting || instance.phase == instance_phase::live);
}

const pool_offer* find_offer(const placement_look& look, const instance_pool& pool)
{
    for (const pool_offer& offer : look.offers)
        if (offer.pool == pool)
            return &offer;
    return nullptr;
}

bool allows(const version_demand& demand, const std::string& machine_class)
{
    return demand.classes.empty() || std::find(demand.classes.begin(), demand.classes.end(),
                                               machine_class) != demand.classes.end();
}

// Sums of capacities and headrooms carry rounding errors, each of which would start an instance.
bool covers(double amount, double wanted) { return amount >= wanted * (1 - 1e-9); }

int instances_for(double requests, const pool_offer& offer)
{
    // Less than a millionth of an instance is rounding.
    return requests <= 0 ? 0 : static_cast<int>(std::ceil(requests / offer.capacity - 1e-6));
}

} // namespace

double placement_policy::capacity::after_worst_loss() const
{
    double sum = on_demand;
    double worst = 0;
    for (const auto& [zone, amount] : reclaimable) {
        sum += amount;
        worst = std::max(worst, amount);
    }
    return sum - worst;
}

std::vector<placement_command> placement_policy::handle(const placement_look& look, absl::Time now)
{
    std::vector<placement_command> out;
    double queued_bytes = 0;
    for (const placed_instance& instance : look.instances) {
        if (instance.phase == instance_phase::drained)
            out.emplace_back(stop_instance{.instance = instance.id});
        if (instance.phase != instance_phase::starting)
            continue;
        for (const version_demand& demand : look.demands)
            if (runs(instance, demand))
                queued_bytes += static_cast<double>(demand.weights_bytes);
    }
    const double longest_queue = m_options.weight_store_bytes_per_second *
                                 absl::ToDoubleSeconds(m_options.longest_load_queue);
    for (const version_demand& demand : look.demands) {
        capacity have;
        for (const placed_instance& instance : look.instances) {
            const pool_offer* offer = find_offer(look, instance.pool);
            if (!runs(instance, demand) || offer == nullptr)
                continue;
            (instance.pool.reclaimable ? have.reclaimable[instance.pool.zone] : have.on_demand) +=
                offer->capacity;
        }
        for (const start_instance& start : plan_starts(look, demand, have, now)) {
            // The first load always goes on, however large, or nothing ever would.
            const auto bytes = static_cast<double>(demand.weights_bytes);
            if (queued_bytes > 0 && queued_bytes + bytes > longest_queue)
                break;
            queued_bytes += bytes;
            out.emplace_back(start);
        }
        if (const auto drain = plan_drain(look, demand, have, now))
            out.emplace_back(*drain);
    }
    return out;
}

void placement_policy::on_start_refused(const instance_pool& pool, absl::Time now)
{
    const auto found = m_backoffs.find(pool);
    // Starts of one look are refused together and count once.
    if (found != m_backoffs.end() && now < found->second.until)
        return;
    const absl::Duration wait = found == m_backoffs.end()
                                    ? m_options.first_backoff
                                    : std::min(found->second.wait * 2, m_options.longest_backoff);
    m_backoffs[pool] = {.until = now + wait, .wait = wait};
}

// With k zones, each but one has to carry the demand, so an even spread needs k/(k-1) times the
// demand. All k are tried over the cheapest zones, with what already runs counted as free.
std::vector<start_instance> placement_policy::plan_starts(const placement_look& look,
                                                          const version_demand& demand,
                                                          const capacity& have,
                                                          absl::Time now) const
{
    const double wanted = demand.requests * m_options.start_headroom;
    // Cheapest offer of each zone, cheapest zone first.
    std::vector<pool_offer> zones;
    for (const pool_offer& offer : usable_offers(look, demand, true, now))
        if (std::none_of(zones.begin(), zones.end(), [&](const pool_offer& other) {
                return other.pool.zone == offer.pool.zone;
            }))
            zones.push_back(offer);
    // What runs on demand does not count where reclaimable instances can replace it.
    capacity lasting = have;
    if (zones.size() >= 2)
        lasting.on_demand = 0;
    if (covers(lasting.after_worst_loss(), wanted))
        return {};

    std::vector<pool_offer> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t k = 2; k <= zones.size(); ++k) {
        const double each = (wanted - lasting.on_demand) / static_cast<double>(k - 1);
        std::vector<pool_offer> added;
        capacity total = lasting;
        double cost = 0;
        for (std::size_t i = 0; i < k; ++i) {
            double& amount = total.reclaimable[zones[i].pool.zone];
            for (int n = instances_for(each - amount, zones[i]); n > 0; --n) {
                added.push_back(zones[i]);
                amount += zones[i].capacity;
                cost += unit_cost(zones[i], demand) * zones[i].capacity;
            }
        }
        // Rounding up in each zone may leave one more than needed; the dearest goes first.
        for (std::size_t i = added.size(); i-- > 0;) {
            capacity without = total;
            without.reclaimable[added[i].pool.zone] -= added[i].capacity;
            if (!covers(without.after_worst_loss(), wanted))
                continue;
            total = without;
            cost -= unit_cost(added[i], demand) * added[i].capacity;
            added.erase(added.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (cost < lowest) {
            lowest = cost;
            best = added;
        }
    }
    std::string reason = absl::StrFormat("wanted=%.3g have=%.3g zones=%d", wanted,
                                         have.after_worst_loss(), zones.size());
    if (zones.size() < 2) {
        const auto on_demand = usable_offers(look, demand, false, now);
        if (!on_demand.empty())
            best.assign(instances_for(wanted - have.after_worst_loss(), on_demand.front()),
                        on_demand.front());
        reason += " reclaimable_not_enough";
    }
    std::vector<start_instance> out;
    for (const pool_offer& offer : best)
        out.push_back({.pool = offer.pool,
                       .service = demand.service,
                       .version = demand.version,
                       .reason = reason});
    return out;
}

std::optional<drain_instance> placement_policy::plan_drain(const placement_look& look,
                                                           const version_demand& demand,
                                                           const capacity& have, absl::Time now)
{
    const placed_instance* dearest = nullptr;
    double highest = 0;
    for (const placed_instance& instance : look.instances) {
        const pool_offer* offer = find_offer(look, instance.pool);
        if (!runs(instance, demand) || instance.phase != instance_phase::live || offer == nullptr)
            continue;
        capacity without = have;
        (instance.pool.reclaimable ? without.reclaimable[instance.pool.zone] : without.on_demand) -=
            offer->capacity;
        // An on-demand instance may go as soon as no start would follow.
        const double kept =
            demand.requests *
            (instance.pool.reclaimable ? m_options.stop_headroom : m_options.start_headroom);
        if (!covers(without.after_worst_loss(), kept) || unit_cost(*offer, demand) <= highest)
            continue;
        dearest = &instance;
        highest = unit_cost(*offer, demand);
    }
    const version_key key(demand.service, demand.version);
    if (dearest == nullptr) {
        m_surplus_since.erase(key);
        return std::nullopt;
    }
    const absl::Time since = m_surplus_since.try_emplace(key, now).first->second;
    if (now - since < m_options.stop_delay)
        return std::nullopt;
    return drain_instance{.instance = dearest->id,
                          .reason = absl::StrFormat("demand=%.3g have=%.3g", demand.requests,
                                                    have.after_worst_loss())};
}

std::vector<pool_offer> placement_policy::usable_offers(const placement_look& look,
                                                        const version_demand& demand,
                                                        bool reclaimable, absl::Time now) const
{
    std::vector<pool_offer> out;
    for (const pool_offer& offer : look.offers) {
        const auto refused = m_backoffs.find(offer.pool);
        if (offer.pool.reclaimable == reclaimable && offer.capacity > 0 &&
            allows(demand, offer.pool.machine_class) &&
            (refused == m_backoffs.end() || now >= refused->second.until))
            out.push_back(offer);
    }
    std::stable_sort(out.begin(), out.end(), [&](const pool_offer& a, const pool_offer& b) {
        return unit_cost(a, demand) < unit_cost(b, demand);
    });
    return out;
}

// Price for each request a second. Each reclaim costs the time in which the replacement is paid
// for and does not serve yet.
double placement_policy::unit_cost(const pool_offer& offer, const version_demand& demand) const
{
    const double start_hours =
        absl::ToDoubleHours(m_options.boot_time) +
        static_cast<double>(demand.weights_bytes) / m_options.weight_store_bytes_per_second / 3600;
    return offer.hourly_price * (1 + m_hazards.hourly_rate(offer.pool) * start_hours) /
           offer.capacity;
}

} // namespace chivedeal::control
