#include "chivedeal/control/placement_policy.hpp"

#include "chivedeal/control/placement_snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace chivedeal;          // NOLINT(google-build-using-namespace)
using namespace chivedeal::control; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time epoch = absl::FromUnixSeconds(1'000'000);

pool_offer offer(const std::string& zone, double price, bool reclaimable = true)
{
    return {.pool = {.zone = zone_id(zone), .machine_class = "m", .reclaimable = reclaimable},
            .hourly_price = price,
            .capacity = 10};
}

placement_snapshot make_three_zone_snapshot(double required_capacity)
{
    return {.offers = {offer("a", 1), offer("b", 1.1), offer("c", 1.2), offer("a", 3, false)},
            .demands = {{.service = service_id("s"),
                         .version = version_id("v"),
                         .required_capacity = required_capacity}},
            .instances = {}};
}

// Applies the effects of the commands to the snapshot.
void apply_commands(placement_snapshot& snapshot, const std::vector<placement_command>& commands)
{
    static int next = 0;
    for (const auto& command : commands) {
        if (const auto* start = std::get_if<start_instance>(&command))
            snapshot.instances.push_back({.id = instance_id("i" + std::to_string(next++)),
                                          .pool = start->pool,
                                          .service = start->service,
                                          .version = start->version});
        if (const auto* drain = std::get_if<drain_instance>(&command))
            for (auto& instance : snapshot.instances)
                if (instance.id == drain->instance)
                    instance.phase = instance_phase::draining;
        if (const auto* stop = std::get_if<stop_instance>(&command))
            std::erase_if(snapshot.instances,
                          [&](const auto& instance) { return instance.id == stop->instance; });
    }
}

double capacity_after_worst_zone_loss(const placement_snapshot& snapshot)
{
    std::map<zone_id, double> lost;
    double sum = 0;
    double worst = 0;
    for (const auto& instance : snapshot.instances) {
        if (instance.phase != instance_phase::live)
            continue;
        sum += 10;
        if (instance.pool.reclaimable)
            worst = std::max(worst, lost[instance.pool.zone] += 10);
    }
    return sum - worst;
}

int count_instances(const placement_snapshot& snapshot, bool reclaimable)
{
    int out = 0;
    for (const auto& instance : snapshot.instances)
        out += instance.pool.reclaimable == reclaimable ? 1 : 0;
    return out;
}

} // namespace

// Guards against a placement that cannot cover the demand after the loss of the reclaimable
// instances of one zone, and against on-demand instances where reclaimable ones suffice.
RC_GTEST_PROP(placement_policy, survives_loss_of_any_zone, ())
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(*rc::gen::inRange(1, 500));
    apply_commands(snapshot, policy.handle(snapshot, epoch));
    RC_ASSERT(capacity_after_worst_zone_loss(snapshot) >= snapshot.demands[0].required_capacity);
    RC_ASSERT(count_instances(snapshot, false) == 0);
    RC_ASSERT(policy.handle(snapshot, epoch).empty());
}

// Guards against a spread over two zones, which doubles the cost, where a spread over three zones
// needs half the spare capacity.
TEST(placement_policy, spreads_over_three_zones_when_cheaper)
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(100);
    apply_commands(snapshot, policy.handle(snapshot, epoch));
    // 110 requests/s with headroom need 2 x 11 instances in two zones or 3 x 5.5 in three.
    EXPECT_EQ(snapshot.instances.size(), 17U);
}

// Guards against retrying a refused pool at every decision, and against unmet demand while the
// reclaimable pools refuse starts.
TEST(placement_policy, backs_off_refused_pools_and_uses_on_demand)
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(50);
    for (const auto& refused : snapshot.offers)
        if (refused.pool.reclaimable)
            policy.on_start_refused(refused.pool, epoch);
    auto commands = policy.handle(snapshot, epoch);
    ASSERT_FALSE(commands.empty());
    for (const auto& command : commands)
        EXPECT_FALSE(std::get<start_instance>(command).pool.reclaimable);
    commands = policy.handle(snapshot, epoch + absl::Seconds(31));
    EXPECT_TRUE(std::get<start_instance>(commands.front()).pool.reclaimable);
}

// Guards against on-demand instances that stay after reclaimable ones are available again.
TEST(placement_policy, replaces_on_demand_with_reclaimable)
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(50);
    for (const auto& refused : snapshot.offers)
        if (refused.pool.reclaimable)
            policy.on_start_refused(refused.pool, epoch);
    apply_commands(snapshot, policy.handle(snapshot, epoch));
    ASSERT_GT(count_instances(snapshot, false), 0);
    for (int minute = 1; minute < 30; ++minute) {
        apply_commands(snapshot, policy.handle(snapshot, epoch + absl::Minutes(minute)));
        for (auto& instance : snapshot.instances)
            if (instance.phase == instance_phase::draining)
                instance.phase = instance_phase::drained;
    }
    EXPECT_EQ(count_instances(snapshot, false), 0);
    EXPECT_GE(capacity_after_worst_zone_loss(snapshot), 50);
}

// Guards against alternating starts and stops when the demand varies by a tenth.
TEST(placement_policy, ignores_small_demand_changes)
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(100);
    apply_commands(snapshot, policy.handle(snapshot, epoch));
    for (int minute = 1; minute < 120; ++minute) {
        snapshot.demands[0].required_capacity = minute % 2 == 0 ? 91 : 100;
        EXPECT_TRUE(policy.handle(snapshot, epoch + absl::Minutes(minute)).empty());
    }
}

// Guards against a stop that interrupts requests: an instance is drained first and stopped only
// once the drain is confirmed.
TEST(placement_policy, stops_only_after_confirmed_drain)
{
    placement_policy policy({});
    placement_snapshot snapshot = make_three_zone_snapshot(100);
    apply_commands(snapshot, policy.handle(snapshot, epoch));
    snapshot.demands[0].required_capacity = 10;
    EXPECT_TRUE(policy.handle(snapshot, epoch).empty());
    const auto drains = policy.handle(snapshot, epoch + absl::Minutes(6));
    ASSERT_EQ(drains.size(), 1U);
    const auto* drain = std::get_if<drain_instance>(&drains[0]);
    ASSERT_NE(drain, nullptr);
    apply_commands(snapshot, drains);
    for (const auto& command : policy.handle(snapshot, epoch + absl::Minutes(7)))
        EXPECT_FALSE(std::holds_alternative<stop_instance>(command));
    for (auto& instance : snapshot.instances)
        if (instance.id == drain->instance)
            instance.phase = instance_phase::drained;
    EXPECT_EQ(policy.handle(snapshot, epoch + absl::Minutes(8)).front(),
              placement_command(stop_instance{.instance = drain->instance}));
}

// Guards against a burst of starts that all wait for the weight store.
TEST(placement_policy, limits_starts_to_weight_store_rate)
{
    placement_policy policy({.weight_store_bytes_per_second = 1e9});
    placement_snapshot snapshot = make_three_zone_snapshot(100);
    snapshot.demands[0].weights_bytes = 140'000'000'000;
    // A load takes 140 s, so four fit into ten minutes.
    EXPECT_EQ(policy.handle(snapshot, epoch).size(), 4U);
}

// Guards against a frequently reclaimed pool that is still considered cheap because of its price.
TEST(hazard_model, reclaims_raise_estimated_rate)
{
    hazard_model model;
    const instance_pool stable_pool = offer("a", 1).pool;
    const instance_pool reclaimed_pool = offer("b", 1).pool;
    model.on_exposure(stable_pool, 10, absl::Hours(10));
    model.on_exposure(reclaimed_pool, 10, absl::Hours(10));
    for (int i = 0; i < 20; ++i)
        model.on_reclaim(reclaimed_pool);
    EXPECT_LT(model.hourly_rate(stable_pool), model.hourly_rate(reclaimed_pool));
    EXPECT_EQ(model.hourly_rate(offer("a", 1, false).pool), 0);
}
