#include "chivedeal/forward/token_quota.hpp"
#include "fakes/quota_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::quota_simulation;

const absl::Time start = absl::FromUnixSeconds(1000);
const workspace_id workspace("workshop");
// The sample with which a node admits a request only if its whole cost is covered.
constexpr double no_luck = 0.999999;

std::vector<workspace_spec> limit(double rate, double burst)
{
    return {{.name = workspace, .counts_tokens = true, .rate = rate, .burst = burst}};
}

TEST(token_quota, admits_workspaces_without_a_limit)
{
    token_quota quota;
    EXPECT_TRUE(quota.try_admit(workspace, 1e9, no_luck, start));
}

TEST(token_quota, refuses_beyond_the_burst_and_refills)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workspace, 200, no_luck, start));
    EXPECT_FALSE(quota.try_admit(workspace, 1, no_luck, start));
    EXPECT_EQ(quota.time_until_available(workspace, 50), absl::Milliseconds(500));
    EXPECT_TRUE(quota.try_admit(workspace, 50, no_luck, start + absl::Milliseconds(600)));
}

// If nodes ignored each other's admissions, every node would grant the full limit.
TEST(token_quota, counts_what_peers_admitted)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    quota.on_peers_admitted(workspace, 190, start);
    EXPECT_FALSE(quota.try_admit(workspace, 50, no_luck, start));
}

// A bucket that kept its old level would admit a burst above the new limit.
TEST(token_quota, applies_a_lower_limit_at_once)
{
    token_quota quota;
    quota.set_workspaces(limit(1000, 1000), start);
    quota.set_workspaces(limit(10, 10), start);
    EXPECT_FALSE(quota.try_admit(workspace, 11, no_luck, start));
}

// Without the refund, requests that were never run would use up the workspace's limit.
TEST(token_quota, gives_back_the_cost_of_a_request_that_did_not_run)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workspace, 200, no_luck, start));
    quota.give_back(workspace, 200);
    EXPECT_TRUE(quota.try_admit(workspace, 200, no_luck, start));
}

// Nodes that all admit at the same moment must not multiply the limit: between two exchanges, all
// nodes together spend at most twice the bucket, plus one request each.
RC_GTEST_PROP(token_quota, nodes_stay_near_the_limit_between_exchanges, ())
{
    const int nodes = *rc::gen::inRange(2, 12);
    std::vector<token_quota> quotas(static_cast<std::size_t>(nodes));
    for (token_quota& quota : quotas) {
        quota.set_workspaces(limit(100, 1000), start);
        quota.set_node_count(nodes);
    }
    double admitted = 0;
    const double cost = *rc::gen::inRange(1, 60);
    for (token_quota& quota : quotas)
        for (int i = 0; i < 200; ++i)
            if (quota.try_admit(workspace, cost, no_luck, start))
                admitted += cost;
    RC_ASSERT(admitted <= 2 * 1000 + nodes * cost);
}

// A bucket that starts full grants the burst a second time when all nodes restart.
TEST(token_quota, starts_empty_if_requests_may_have_been_admitted_before)
{
    token_quota quota({.starts_empty = true});
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_FALSE(quota.try_admit(workspace, 1, no_luck, start));
    EXPECT_TRUE(quota.try_admit(workspace, 50, no_luck, start + absl::Milliseconds(600)));
}

// A single node that restarts would refuse requests within the limit until its bucket has filled.
TEST(token_quota, takes_over_the_level_of_other_nodes_at_its_start)
{
    token_quota quota({.starts_empty = true});
    quota.set_workspaces(limit(100, 200), start);
    quota.on_peer_levels({{workspace, 150}}, start);
    quota.on_peer_levels({{workspace, 20}}, start);
    EXPECT_TRUE(quota.try_admit(workspace, 140, no_luck, start));
    quota.on_peer_levels({{workspace, 200}}, start + absl::Seconds(10));
    EXPECT_DOUBLE_EQ(quota.levels(start + absl::Milliseconds(100))[workspace], 20);
}

// Other nodes reply to a new node before it has read the configuration.
TEST(token_quota, remembers_levels_that_arrive_before_the_limits)
{
    token_quota quota({.starts_empty = true});
    quota.on_peer_levels({{workspace, 20}}, start);
    quota.on_peer_levels({{workspace, 150}}, start);
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workspace, 140, no_luck, start));
}

struct overload
{
    const char* name;
    int nodes;
    /// Multiple of the workspace's rate that its callers ask for.
    double demand;
    bool all_nodes_restart;
};

const std::vector<overload> overloads{
    {"of_3_nodes", 3, 2.8, true},   {"of_9_nodes", 9, 2.8, true},
    {"of_95_nodes", 95, 2.8, true}, {"of_95_nodes_without_restart", 95, 2.8, false},
    {"eightfold", 95, 8, true},     {"of_400_nodes", 400, 2.8, true},
};

class quota_overload_test : public ::testing::TestWithParam<overload>
{};

// Guards against limits that grow with the number of nodes. The nodes exchange what they admitted
// at the intervals of their beacons, with delays and losses; all of them restart in the middle.
TEST_P(quota_overload_test, stays_within_the_tolerated_excess)
{
    constexpr double tolerated_excess = 0.1;
    quota_simulation::options settings{.nodes = GetParam().nodes,
                                       .rate = 300'000,
                                       .burst = 300'000,
                                       .mean_cost = 12'000,
                                       .max_cost = 54'000,
                                       .demand = GetParam().demand,
                                       .length = absl::Seconds(17)};
    if (GetParam().all_nodes_restart)
        settings.restart_at = absl::Seconds(9);
    quota_simulation simulation(settings);
    simulation.run();
    const double window_s = 8;
    EXPECT_LE(simulation.max_admitted_within(absl::Seconds(window_s)),
              (settings.rate * window_s + settings.burst) * (1 + tolerated_excess) + 140'000);
}

INSTANTIATE_TEST_SUITE_P(token_quota, quota_overload_test, ::testing::ValuesIn(overloads),
                         [](const auto& instance) { return std::string(instance.param.name); });

// Guards against refusing a workspace that stays within its limit.
TEST(token_quota, admits_almost_all_requests_below_the_limit)
{
    for (const int nodes : {3, 9, 95}) {
        quota_simulation simulation({.nodes = nodes,
                                     .rate = 300'000,
                                     .burst = 300'000,
                                     .mean_cost = 12'000,
                                     .max_cost = 54'000,
                                     .demand = 0.6,
                                     .length = absl::Seconds(17)});
        simulation.run();
        EXPECT_GE(simulation.admitted_share(), 0.98) << nodes << " nodes";
    }
}

// Guards against refusing sound workspaces for longer than the limit demands after a restart.
TEST(token_quota, recovers_soon_after_all_nodes_restarted)
{
    quota_simulation simulation({.nodes = 95,
                                 .rate = 300'000,
                                 .burst = 300'000,
                                 .mean_cost = 12'000,
                                 .max_cost = 54'000,
                                 .demand = 0.6,
                                 .length = absl::Seconds(17),
                                 .restart_at = absl::Seconds(9),
                                 .measured_from = absl::Seconds(12)});
    simulation.run();
    EXPECT_GE(simulation.admitted_share(), 0.95);
}

} // namespace
} // namespace chivedeal::forward
