#include "chivedeal/control/placement_planner.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace chivedeal;          // NOLINT(google-build-using-namespace)
using namespace chivedeal::control; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time epoch = absl::FromUnixSeconds(1'000'000);
const service_id catalogue("catalogue");
const version_id v1("v1");

pool_price price(const std::string& region, const std::string& zone)
{
    return {.region = region_id(region),
            .pool = {.zone = zone_id(zone), .machine_class = "a"},
            .hourly_price = 1};
}

membership::endpoint endpoint(const std::string& id, const std::string& zone)
{
    return {.id = endpoint_id(id),
            .region = region_id("r1"),
            .zone = zone_id(zone),
            .machine_class = "a",
            .service = catalogue,
            .version = v1};
}

placement_planner::input make_input(int min_endpoints, int max_endpoints,
                                    std::vector<membership::endpoint> endpoints,
                                    open_orders orders = {})
{
    state::cluster_state state;
    state.services[catalogue] = std::make_shared<const state::service>(state::service{
        .name = catalogue, .min_endpoints = min_endpoints, .max_endpoints = max_endpoints});
    state.versions[{catalogue, v1}] = std::make_shared<const state::endpoint_version>(
        state::endpoint_version{.service = catalogue, .name = v1});
    state.current_versions[catalogue] = v1;
    membership::membership_view view;
    view.endpoints = std::move(endpoints);
    return {.state = std::make_shared<const state::cluster_state>(std::move(state)),
            .view = std::make_shared<const membership::membership_view>(std::move(view)),
            .prices = {price("r1", "z1"), price("r1", "z2"), price("r2", "other")},
            .orders = std::make_shared<const open_orders>(std::move(orders))};
}

std::vector<placement_command>
decide(placement_planner& planner, const placement_planner::input& inputs, absl::Time now = epoch)
{
    planner.observe(*inputs.view, now);
    return planner.decide(inputs, planner.build_snapshot(inputs, now), now);
}

order_start start_in(const std::string& zone, int slot)
{
    return {.token = {.scope = "placement/r1", .grant = 3, .slot = slot},
            .pool = price("r1", zone).pool,
            .service = catalogue,
            .version = v1};
}

} // namespace

// Guards against instances that are started for a service whose operators start them.
TEST(placement_planner, ignores_services_without_max_endpoints)
{
    placement_planner planner({.region = region_id("r1")});
    const auto inputs = make_input(0, 0, {endpoint("e1", "z1")});
    EXPECT_FALSE(has_placed_service(*inputs.state));
    EXPECT_EQ(planner.build_snapshot(inputs, epoch).instances.size(), 0U);
    EXPECT_TRUE(decide(planner, inputs).empty());
}

// Guards against starts in pools of another region and above the declared maximum.
TEST(placement_planner, starts_declared_endpoints_in_own_region)
{
    placement_planner planner({.region = region_id("r1")});
    const auto commands = decide(planner, make_input(1, 4, {}));
    ASSERT_EQ(commands.size(), 2U);
    for (const auto& command : commands)
        EXPECT_NE(std::get<start_instance>(command).pool.zone, zone_id("other"));
    EXPECT_EQ(decide(planner, make_input(3, 4, {})).size(), 4U);
}

// Guards against a second start while the instance is in the list of the cloud but not yet in the
// view, and against an instance that still counts after it has left the view.
TEST(placement_planner, counts_start_until_view_contains_instance)
{
    placement_planner planner({.region = region_id("r1")});
    const open_orders orders{
        .unlisted_starts = {start_in("z1", 1)},
        .listed_starts = {{.order = start_in("z2", 2), .instance = instance_id("e2")}}};
    EXPECT_TRUE(decide(planner, make_input(1, 4, {}, orders)).empty());
    EXPECT_TRUE(decide(planner, make_input(1, 4, {endpoint("e2", "z2")}, orders)).empty());
    EXPECT_EQ(decide(planner, make_input(1, 4, {}, orders)).size(), 1U);
}

// Guards against a stop while requests are running, a stop based on a load report from before all
// nodes knew of the drain, and a stop of an instance that the cloud is reclaiming anyway.
TEST(placement_planner, confirms_drain_only_after_late_idle_report)
{
    placement_planner planner({.region = region_id("r1")});
    auto leaving = endpoint("e1", "z1");
    leaving.status = membership::endpoint_status::leaving;
    const auto inputs = make_input(0, 4, {leaving});
    planner.observe(*inputs.view, epoch);
    const auto phase_after = [&](int open, absl::Duration age, absl::Time now) {
        planner.handle(
            load_sample{.endpoint = leaving.id, .open_requests = open, .slots = 4, .age = age},
            now);
        return planner.build_snapshot(inputs, now).instances.at(0).phase;
    };
    EXPECT_EQ(phase_after(0, {}, epoch + absl::Seconds(1)), instance_phase::draining);
    EXPECT_EQ(phase_after(0, absl::Seconds(5), epoch + absl::Seconds(12)),
              instance_phase::draining);
    EXPECT_EQ(phase_after(1, {}, epoch + absl::Seconds(13)), instance_phase::draining);
    EXPECT_EQ(phase_after(0, {}, epoch + absl::Seconds(14)), instance_phase::drained);
    leaving.reclaim_at = epoch + absl::Minutes(1);
    EXPECT_EQ(planner.build_snapshot(make_input(0, 4, {leaving}), epoch + absl::Seconds(14))
                  .instances.at(0)
                  .phase,
              instance_phase::leaving);
}

// Guards against sustained load that starts nothing, and a single burst that starts many instances.
TEST(placement_planner, demand_follows_average_load)
{
    placement_planner planner({.region = region_id("r1")});
    const auto inputs = make_input(1, 9, {endpoint("e1", "z1"), endpoint("e2", "z2")});
    const auto demand_after = [&](int open, absl::Duration at) {
        planner.handle(
            load_sample{.endpoint = endpoint_id("e1"), .open_requests = open, .slots = 4},
            epoch + at);
        return planner.build_snapshot(inputs, epoch + at).demands.at(0).required_capacity;
    };
    EXPECT_LT(demand_after(0, {}), 1);
    EXPECT_LT(demand_after(12, absl::Seconds(1)), 1);
    EXPECT_GT(demand_after(12, absl::Minutes(5)), 2.9);
}
