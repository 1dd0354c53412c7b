#include "chivedeal/forward/token_quota.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const workspace_id workspace("workshop");

std::vector<workspace_spec> limit(double rate, double burst)
{
    return {{.name = workspace, .counts_tokens = true, .rate = rate, .burst = burst}};
}

TEST(token_quota, admits_workspaces_without_a_limit)
{
    token_quota quota;
    EXPECT_TRUE(quota.try_admit(workspace, 1e9, start));
}

TEST(token_quota, refuses_beyond_the_burst_and_refills)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workspace, 200, start));
    EXPECT_FALSE(quota.try_admit(workspace, 1, start));
    EXPECT_EQ(quota.time_until_available(workspace, 50), absl::Milliseconds(500));
    EXPECT_TRUE(quota.try_admit(workspace, 50, start + absl::Milliseconds(600)));
}

// If nodes ignored each other's admissions, every node would grant the full limit.
TEST(token_quota, counts_what_peers_admitted)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    quota.on_peers_admitted(workspace, 190, start);
    EXPECT_FALSE(quota.try_admit(workspace, 50, start));
}

// A bucket that kept its old level would admit a burst above the new limit.
TEST(token_quota, applies_a_lower_limit_at_once)
{
    token_quota quota;
    quota.set_workspaces(limit(1000, 1000), start);
    quota.set_workspaces(limit(10, 10), start);
    EXPECT_FALSE(quota.try_admit(workspace, 11, start));
}

// Without the refund, requests that were never run would use up the workspace's limit.
TEST(token_quota, gives_back_the_cost_of_a_request_that_did_not_run)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workspace, 200, start));
    quota.give_back(workspace, 200);
    EXPECT_TRUE(quota.try_admit(workspace, 200, start));
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
            if (quota.try_admit(workspace, cost, start))
                admitted += cost;
    RC_ASSERT(admitted <= 2 * 1000 + nodes * cost);
}

} // namespace
} // namespace chivedeal::forward
