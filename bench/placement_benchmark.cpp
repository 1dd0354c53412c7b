#include "bench/placement_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/control/placement_policy.hpp"
#include "chivedeal/control/placement_snapshot.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::bench {

namespace {

using namespace control; // NOLINT(google-build-using-namespace)

constexpr int days = 20;
constexpr int minutes_per_day = 24 * 60;
constexpr double instance_capacity = 10;
constexpr std::uint64_t weights_bytes = 60'000'000'000;
constexpr double store_bytes_per_second = 1e9;

class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    virtual std::vector<placement_command> choose(const placement_snapshot& snapshot,
                                                  absl::Time now) = 0;
    virtual void on_refused(const instance_pool& /*pool*/, absl::Time /*now*/) {}
    virtual void on_started(const instance_pool& /*pool*/) {}
    virtual void on_reclaim(const instance_pool& /*pool*/) {}
    virtual void on_minute(const placement_snapshot& /*snapshot*/) {}
};

class zone_spread_strategy : public placement_strategy
{
public:
    std::vector<placement_command> choose(const placement_snapshot& snapshot,
                                          absl::Time now) override
    {
        return m_policy.handle(snapshot, now);
    }
    void on_refused(const instance_pool& pool, absl::Time now) override
    {
        m_policy.on_start_refused(pool, now);
    }
    void on_started(const instance_pool& pool) override { m_policy.on_started(pool); }
    void on_reclaim(const instance_pool& pool) override { m_policy.hazards().on_reclaim(pool); }
    void on_minute(const placement_snapshot& snapshot) override
    {
        std::map<instance_pool, int> running;
        for (const auto& instance : snapshot.instances)
            ++running[instance.pool];
        for (const auto& [pool, count] : running)
            m_policy.hazards().on_exposure(pool, count, absl::Minutes(1));
    }

private:
    placement_policy m_policy{{.weight_store_bytes_per_second = store_bytes_per_second}};
};

// Baseline: covers the demand with instances of the cheapest allowed offer, with the same headrooms
// as `placement_policy` but without regard to zones.
class cheapest_pool_strategy : public placement_strategy
{
public:
    explicit cheapest_pool_strategy(bool reclaimable) : m_reclaimable(reclaimable) {}

    std::vector<placement_command> choose(const placement_snapshot& snapshot,
                                          absl::Time /*now*/) override
    {
        const version_demand& demand = snapshot.demands.front();
        double current_capacity = 0;
        for (const auto& instance : snapshot.instances)
            current_capacity +=
                instance.phase == instance_phase::live || instance.phase == instance_phase::starting
                    ? instance_capacity
                    : 0;
        const pool_offer* cheapest = nullptr;
        for (const pool_offer& offer : snapshot.offers)
            if (offer.pool.reclaimable == m_reclaimable &&
                (cheapest == nullptr || offer.hourly_price < cheapest->hourly_price))
                cheapest = &offer;
        std::vector<placement_command> out;
        for (const auto& instance : snapshot.instances)
            if (instance.phase == instance_phase::drained)
                out.emplace_back(stop_instance{.instance = instance.id});
        for (; current_capacity < demand.required_capacity * 1.1;
             current_capacity += instance_capacity)
            out.emplace_back(start_instance{
                .pool = cheapest->pool, .service = demand.service, .version = demand.version});
        if (current_capacity - instance_capacity < demand.required_capacity * 1.3)
            return out;
        for (const auto& instance : snapshot.instances)
            if (instance.phase == instance_phase::live) {
                out.emplace_back(drain_instance{.instance = instance.id});
                break;
            }
        return out;
    }

private:
    bool m_reclaimable;
};

// Simulates a day in steps of a minute: a daily demand curve, random-walk prices, waves that
// reclaim all reclaimable instances of a zone, pools that refuse starts for a while, and weight
// loads that run one at a time.
class day_simulation
{
public:
    explicit day_simulation(std::uint64_t seed) : m_random(seed)
    {
        const std::vector<std::string> zones{"a", "b", "c"};
        for (const std::string& zone : zones) {
            const double price = 1 + uniform() * 0.4;
            m_snapshot.offers.push_back(make_offer(zone, true, price));
            m_snapshot.offers.push_back(make_offer(zone, false, 3));
        }
        m_snapshot.demands = {{.service = service_id("language"),
                               .version = version_id("v1"),
                               .required_capacity = 0,
                               .weights_bytes = weights_bytes}};
    }

    void run(placement_strategy& strategy)
    {
        for (m_minute = 0; m_minute < minutes_per_day; ++m_minute)
            simulate_minute(strategy);
    }

    double cost = 0;
    int minutes_on_target = 0;
    /// Sum over all minutes of the number of paid instances.
    double paid_minutes = 0;
    double on_demand_minutes = 0;
    int starts = 0;
    int refusals = 0;

private:
    static pool_offer make_offer(const std::string& zone, bool reclaimable, double price)
    {
        return {.pool = {.zone = zone_id(zone), .machine_class = "g", .reclaimable = reclaimable},
                .hourly_price = price,
                .capacity = instance_capacity};
    }

    double uniform() { return std::uniform_real_distribution<>()(m_random); }

    void simulate_minute(placement_strategy& strategy)
    {
        const absl::Time now = absl::FromUnixSeconds(1'000'000) + absl::Minutes(m_minute);
        constexpr double pi = 3.14159265358979;
        m_snapshot.demands[0].required_capacity =
            100 - 60 * std::cos(2 * pi * m_minute / minutes_per_day);
        for (pool_offer& offer : m_snapshot.offers) {
            if (!offer.pool.reclaimable)
                continue;
            offer.hourly_price =
                std::clamp(offer.hourly_price * (1 + (uniform() - 0.5) * 0.02), 0.6, 2.5);
            // About one wave per zone every eight hours; afterwards the pool refuses starts for a
            // while.
            if (uniform() < 1.0 / 480)
                reclaim(strategy, offer.pool);
        }
        for (placed_instance& instance : m_snapshot.instances) {
            if (instance.phase == instance_phase::starting && m_live_at[instance.id] <= m_minute)
                instance.phase = instance_phase::live;
            else if (instance.phase == instance_phase::draining)
                instance.phase = instance_phase::drained;
        }
        for (const placement_command& command : strategy.choose(m_snapshot, now))
            execute(strategy, command, now);
        strategy.on_minute(m_snapshot);
        record_minute();
    }

    void reclaim(placement_strategy& strategy, const instance_pool& pool)
    {
        const auto taken = std::erase_if(
            m_snapshot.instances, [&](const auto& instance) { return instance.pool == pool; });
        if (taken > 0)
            strategy.on_reclaim(pool);
        m_refusing_until[pool] = m_minute + 20;
    }

    void execute(placement_strategy& strategy, const placement_command& command, absl::Time now)
    {
        if (const auto* start = std::get_if<start_instance>(&command)) {
            if (start->pool.reclaimable && m_minute < m_refusing_until[start->pool]) {
                ++refusals;
                strategy.on_refused(start->pool, now);
                return;
            }
            strategy.on_started(start->pool);
            const instance_id id("i" + std::to_string(starts++));
            m_store_free_at = std::max<double>(m_store_free_at, m_minute) +
                              weights_bytes / store_bytes_per_second / 60;
            m_live_at[id] = m_store_free_at + 1;
            m_snapshot.instances.push_back({.id = id,
                                            .pool = start->pool,
                                            .service = start->service,
                                            .version = start->version,
                                            .phase = instance_phase::starting});
            return;
        }
        if (const auto* drain = std::get_if<drain_instance>(&command)) {
            for (placed_instance& instance : m_snapshot.instances)
                if (instance.id == drain->instance)
                    instance.phase = instance_phase::draining;
            return;
        }
        const instance_id id = std::get<stop_instance>(command).instance;
        std::erase_if(m_snapshot.instances,
                      [&](const auto& instance) { return instance.id == id; });
    }

    void record_minute()
    {
        double live = 0;
        for (const placed_instance& instance : m_snapshot.instances) {
            for (const pool_offer& offer : m_snapshot.offers)
                cost += offer.pool == instance.pool ? offer.hourly_price / 60 : 0;
            paid_minutes += 1;
            on_demand_minutes += instance.pool.reclaimable ? 0 : 1;
            live += instance.phase == instance_phase::live ? instance_capacity : 0;
        }
        // Excludes the first half hour, in which every strategy fills the empty region.
        if (m_minute >= 30 && live >= m_snapshot.demands[0].required_capacity)
            ++minutes_on_target;
    }

    std::mt19937_64 m_random;
    placement_snapshot m_snapshot;
    int m_minute = 0;
    double m_store_free_at = 0;
    std::map<instance_id, double> m_live_at;
    std::map<instance_pool, int> m_refusing_until;
};

} // namespace

void placement_benchmark::run(report& out)
{
    const std::vector<std::pair<std::string, std::function<std::unique_ptr<placement_strategy>()>>>
        policies{{"zone_loss_spread", [] { return std::make_unique<zone_spread_strategy>(); }},
                 {"all_on_demand", [] { return std::make_unique<cheapest_pool_strategy>(false); }},
                 {"cheapest_first", [] { return std::make_unique<cheapest_pool_strategy>(true); }}};
    for (const auto& [name, make] : policies) {
        double cost = 0;
        double on_target = 0;
        double starts = 0;
        double refusals = 0;
        double paid = 0;
        double on_demand = 0;
        for (int day = 1; day <= days; ++day) {
            day_simulation simulation(static_cast<std::uint64_t>(day));
            simulation.run(*make());
            cost += simulation.cost / days;
            paid += simulation.paid_minutes / 60 / days;
            on_demand += simulation.on_demand_minutes / 60 / days;
            on_target += 100.0 * simulation.minutes_on_target / (minutes_per_day - 30) / days;
            starts += static_cast<double>(simulation.starts) / days;
            refusals += static_cast<double>(simulation.refusals) / days;
        }
        out.add("placement", "cost_a_day", name, cost, "price units");
        out.add("placement", "time_under_target", name, on_target, "%");
        out.add("placement", "instance_hours_a_day", name, paid, "h");
        out.add("placement", "on_demand_hours_a_day", name, on_demand, "h");
        out.add("placement", "starts_a_day", name, starts, "instances");
        out.add("placement", "refused_starts_a_day", name, refusals, "starts");
    }
}

} // namespace chivedeal::bench
