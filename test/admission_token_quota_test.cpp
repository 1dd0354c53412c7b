#include "chivedeal/admission/token_quota.hpp"
#include "fakes/quota_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivedeal::admission {
namespace {

using fakes::quota_simulation;

const absl::Time start = absl::FromUnixSeconds(1000);
const workspace_id workspace("workshop");
// The sample with which a node admits a request only if its whole cost is covered.
constexpr double no_luck = 0.999999;

std::vector<forward::workspace_spec> limit(double rate, double burst)
{
    return {{.name = workspace, .counts_tokens = true, .rate = rate, .burst = burst}};
}

bool admits(token_quota& quota, double cost, absl::Time now, int priority = 0)
{
    return quota.try_admit(workspace, {.cost = cost, .priority = priority, .sample = no_luck},
                           now) == token_quota::decision::admitted;
}

void report(token_quota& quota, const char* peer, double total, absl::Time now,
            std::int64_t started_us = 0, bool leaving = false)
{
    const std::map<workspace_id, double> admitted{{workspace, total}};
    quota.on_peer_report(node_id(peer),
                         {.started_us = started_us, .admitted = admitted, .leaving = leaving}, now);
}

// Lets time pass without reports.
void pass(token_quota& quota, absl::Time from, absl::Time until)
{
    for (absl::Time now = from; now <= until; now += absl::Milliseconds(100))
        quota.on_exchange(now);
}

TEST(token_quota, admits_workspaces_without_a_limit)
{
    token_quota quota;
    EXPECT_TRUE(admits(quota, 1e9, start));
}

TEST(token_quota, refuses_beyond_the_burst_and_refills)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(admits(quota, 200, start));
    EXPECT_FALSE(admits(quota, 1, start));
    EXPECT_EQ(quota.time_until_available(workspace, 50), absl::Milliseconds(500));
    EXPECT_TRUE(admits(quota, 50, start + absl::Milliseconds(600)));
}

// If nodes ignored each other's admissions, every node would grant the full limit.
TEST(token_quota, counts_what_peers_admitted)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    report(quota, "n2", 190, start);
    EXPECT_FALSE(admits(quota, 50, start));
}

// A bucket that kept its old level would admit a burst above the new limit.
TEST(token_quota, applies_a_lower_limit_at_once)
{
    token_quota quota;
    quota.set_workspaces(limit(1000, 1000), start);
    quota.set_workspaces(limit(10, 10), start);
    EXPECT_FALSE(admits(quota, 11, start));
}

// Without the refund, requests that were never run would use up the workspace's limit.
TEST(token_quota, gives_back_the_cost_of_a_request_that_did_not_run)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(admits(quota, 200, start));
    quota.give_back(workspace, 200);
    EXPECT_TRUE(admits(quota, 200, start));
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
            if (admits(quota, cost, start))
                admitted += cost;
    RC_ASSERT(admitted <= 2 * 1000 + nodes * cost);
}

// A bucket that starts full grants the burst a second time when all nodes restart.
TEST(token_quota, starts_empty_if_requests_may_have_been_admitted_before)
{
    token_quota quota({.starts_empty = true});
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_FALSE(admits(quota, 1, start));
    EXPECT_TRUE(admits(quota, 50, start + absl::Milliseconds(600)));
}

// A single node that restarts would refuse requests within the limit until its bucket has filled.
TEST(token_quota, takes_over_the_level_of_other_nodes_at_its_start)
{
    token_quota quota({.starts_empty = true});
    quota.set_workspaces(limit(100, 200), start);
    quota.on_peer_levels({{workspace, 150}}, start);
    quota.on_peer_levels({{workspace, 20}}, start);
    EXPECT_TRUE(admits(quota, 140, start));
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
    EXPECT_TRUE(admits(quota, 140, start));
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

// A peer that was lost and returns must be charged for what it admitted in between, and one that
// restarts for what it admitted since; else nodes that were cut off grant the limit twice.
TEST(token_quota, charges_what_a_peer_admitted_while_it_was_not_heard)
{
    token_quota quota;
    quota.set_workspaces(limit(1, 1000), start);
    quota.set_node_count(2);
    report(quota, "n2", 100, start, 1);
    report(quota, "n2", 300, start + absl::Milliseconds(500), 1);
    EXPECT_NEAR(quota.levels(start + absl::Milliseconds(500))[workspace], 700, 5);
    report(quota, "n2", 40, start + absl::Milliseconds(1000), 2);
    EXPECT_NEAR(quota.levels(start + absl::Milliseconds(1000))[workspace], 660, 5);
    pass(quota, start + absl::Milliseconds(1000), start + absl::Seconds(8));
    EXPECT_EQ(quota.silent_peers(), 1);
    report(quota, "n2", 640, start + absl::Seconds(8), 2);
    EXPECT_EQ(quota.silent_peers(), 0);
    EXPECT_NEAR(quota.levels(start + absl::Seconds(8))[workspace], 66, 10);
}

// Nodes that don't hear each other must not spend the same tokens: a node that is alone keeps to
// its equal share.
TEST(token_quota, leaves_silent_peers_their_equal_share)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 1000), start);
    quota.set_node_count(4);
    for (const char* peer : {"n2", "n3", "n4"})
        report(quota, peer, 0, start);
    EXPECT_NEAR(quota.levels(start)[workspace], 1000, 1);
    pass(quota, start, start + absl::Seconds(5));
    EXPECT_EQ(quota.silent_peers(), 3);
    EXPECT_TRUE(admits(quota, 1, start + absl::Seconds(5)));
    EXPECT_LE(quota.levels(start + absl::Seconds(5))[workspace], 250);
}

// With 400 nodes, peers report less often than a node expects at first. They must not count as
// silent for good.
TEST(token_quota, learns_how_often_a_peer_reports)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 1000), start);
    absl::Time now = start;
    for (int i = 0; i < 30; ++i, now += absl::Milliseconds(1600)) {
        report(quota, "n2", i, now);
        pass(quota, now, now + absl::Milliseconds(1500));
    }
    EXPECT_EQ(quota.silent_peers(), 0);
}

// A node that shut down would keep its share of the limit from the others.
TEST(token_quota, forgets_peers_that_left)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 1000), start);
    report(quota, "n2", 0, start);
    report(quota, "n2", 0, start, 0, true);
    pass(quota, start, start + absl::Seconds(5));
    EXPECT_EQ(quota.silent_peers(), 0);
    EXPECT_TRUE(admits(quota, 1, start + absl::Seconds(5)));
    EXPECT_NEAR(quota.levels(start + absl::Seconds(5))[workspace], 999, 1);
}

// Guards against callers of less urgent routes that return first and take the room.
TEST(token_quota, lets_the_most_urgent_return_first)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    for (const int priority : {0, 3, 7})
        (void)admits(quota, 150, start, priority);
    absl::Duration latest_before = absl::ZeroDuration();
    for (const int priority : {0, 3, 7}) {
        const token_quota::request refused{.cost = 150, .priority = priority};
        EXPECT_GE(quota.retry_after(workspace, refused, 0), latest_before);
        latest_before = quota.retry_after(workspace, refused, 0.999);
    }
    // The bucket holds 50 and needs 150.
    EXPECT_GE(quota.retry_after(workspace, {.cost = 150}, 0), absl::Seconds(1));
    EXPECT_LE(latest_before, absl::Seconds(2));
}

struct contention
{
    const char* name;
    int nodes;
    double rate;
    /// Fraction of the requests that go to a tenth of the nodes.
    double concentration;
};

const std::vector<contention> contentions{
    {"even_59", 59, 283'000, 0},      {"uneven_59", 59, 283'000, 0.5},
    {"even_74", 74, 283'000, 0},      {"uneven_74", 74, 283'000, 0.5},
    {"small_even_59", 59, 36'000, 0}, {"small_uneven_59", 59, 36'000, 0.5},
    {"small_even_74", 74, 36'000, 0}, {"small_uneven_74", 74, 36'000, 0.5},
};

class quota_contention_test : public ::testing::TestWithParam<contention>
{
protected:
    // Large and small requests of an urgent and of a less urgent route.
    static quota_simulation::options settings(double demand)
    {
        return {.nodes = GetParam().nodes,
                .rate = GetParam().rate,
                .burst = GetParam().rate,
                .demand = demand,
                .length = absl::Seconds(40),
                .measured_from = absl::Seconds(2),
                .classes = {{.cost = 12'000, .share = 0.6, .priority = 0},
                            {.cost = 12'000, .share = 0.1, .priority = 2},
                            {.cost = 1'000, .share = 0.1, .priority = 0},
                            {.cost = 1'000, .share = 0.2, .priority = 2}},
                .concentration = GetParam().concentration};
    }
};

// Guards against nodes that refuse requests while others leave their share unused.
TEST_P(quota_contention_test, admits_what_the_limit_allows)
{
    quota_simulation below(settings(0.7));
    below.run();
    EXPECT_LE(below.total().wrongly_refused, 0.02 * below.total().allowed);
    quota_simulation at(settings(1));
    at.run();
    EXPECT_LE(at.total().wrongly_refused, 0.05 * at.total().allowed);
    for (const double demand : {1.0, 1.5, 3.0}) {
        quota_simulation simulation(settings(demand));
        simulation.run();
        EXPECT_GE(simulation.total().admitted, 0.97 * simulation.total().allowed) << demand;
        EXPECT_LE(simulation.max_admitted_within(absl::Seconds(8)),
                  simulation.bound(absl::Seconds(8)))
            << demand;
    }
}

// Guards against priority inversion, and against starving routes and large prompts.
TEST_P(quota_contention_test, prefers_urgent_routes_and_starves_none)
{
    quota_simulation simulation(settings(3));
    simulation.run();
    const auto& served = simulation.by_class();
    const auto route = [&served](std::size_t large, std::size_t small) {
        return static_cast<double>(served[large].admitted_requests +
                                   served[small].admitted_requests) /
               static_cast<double>(served[large].requests + served[small].requests);
    };
    const double urgent = route(0, 2);
    const double less_urgent = route(1, 3);
    EXPECT_GE(urgent, 1.5 * less_urgent);
    EXPECT_GE(less_urgent, 0.25 * simulation.total().served_share());
    EXPECT_GE(served[0].served_share(), 0.5 * urgent);
    EXPECT_GE(served[1].served_share(), 0.5 * less_urgent);
}

INSTANTIATE_TEST_SUITE_P(token_quota, quota_contention_test, ::testing::ValuesIn(contentions),
                         [](const auto& instance) { return std::string(instance.param.name); });

struct disturbance
{
    const char* name;
    int nodes;
    double rate;
    double cut_share;
    absl::Duration restart_at;
    absl::Duration max_delay;
    double concentration;
};

const std::vector<disturbance> disturbances{
    {"cut_3", 3, 283'000, 0.35, absl::InfiniteDuration(), absl::ZeroDuration(), 0},
    {"large_cut_3", 3, 900'000, 0.35, absl::InfiniteDuration(), absl::ZeroDuration(), 0},
    {"cut_59", 59, 283'000, 0.35, absl::InfiniteDuration(), absl::ZeroDuration(), 0},
    {"cut_74", 74, 900'000, 0.35, absl::InfiniteDuration(), absl::ZeroDuration(), 0.5},
    {"all_cut_59", 59, 283'000, 1, absl::InfiniteDuration(), absl::ZeroDuration(), 0},
    {"restart_while_cut_74", 74, 36'000, 0.35, absl::Seconds(12), absl::ZeroDuration(), 0.5},
    {"delays_74", 74, 900'000, 0, absl::InfiniteDuration(), absl::Milliseconds(300), 0},
};

class quota_disturbance_test : public ::testing::TestWithParam<disturbance>
{};

// Guards against nodes that each grant what the others left, when they don't hear each other: part
// of them is cut off just when the demand rises from 0.6 to 7.5 times the limit.
TEST_P(quota_disturbance_test, stays_within_the_bound)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
        quota_simulation simulation({.nodes = GetParam().nodes,
                                     .rate = GetParam().rate,
                                     .burst = GetParam().rate,
                                     .mean_cost = 12'000,
                                     .max_cost = 54'000,
                                     .demand = 0.6,
                                     .length = absl::Seconds(30),
                                     .restart_at = GetParam().restart_at,
                                     .seed = seed,
                                     .concentration = GetParam().concentration,
                                     .later_from = absl::Seconds(9),
                                     .later_demand = 7.5,
                                     .cut_share = GetParam().cut_share,
                                     .cut_from = absl::Seconds(9),
                                     .cut_for = absl::Seconds(12),
                                     .max_delay = GetParam().max_delay});
        simulation.run();
        EXPECT_LE(simulation.max_admitted_within(absl::Seconds(8)),
                  simulation.bound(absl::Seconds(8)))
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(token_quota, quota_disturbance_test, ::testing::ValuesIn(disturbances),
                         [](const auto& instance) { return std::string(instance.param.name); });

} // namespace
} // namespace chivedeal::admission
