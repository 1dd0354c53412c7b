#include "chivedeal/forward/token_quota.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const workspace_id workshop("workshop");

std::vector<workspace_spec> limit(double rate, double burst)
{
    return {{.name = workshop, .counts_tokens = true, .rate = rate, .burst = burst}};
}

TEST(token_quota, passes_workspaces_without_a_limit)
{
    token_quota quota;
    EXPECT_TRUE(quota.try_admit(workshop, 1e9, start));
}

TEST(token_quota, refuses_beyond_the_burst_and_refills)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workshop, 200, start));
    EXPECT_FALSE(quota.try_admit(workshop, 1, start));
    EXPECT_EQ(quota.time_until(workshop, 50), absl::Milliseconds(500));
    EXPECT_TRUE(quota.try_admit(workshop, 50, start + absl::Milliseconds(600)));
}

// What peers admitted counts against the same limit.
TEST(token_quota, counts_what_peers_admitted)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    quota.on_peers_admitted(workshop, 190, start);
    EXPECT_FALSE(quota.try_admit(workshop, 50, start));
}

TEST(token_quota, a_lower_limit_binds_at_once)
{
    token_quota quota;
    quota.set_workspaces(limit(1000, 1000), start);
    quota.set_workspaces(limit(10, 10), start);
    EXPECT_FALSE(quota.try_admit(workshop, 11, start));
}

TEST(token_quota, gives_back_what_did_not_run)
{
    token_quota quota;
    quota.set_workspaces(limit(100, 200), start);
    EXPECT_TRUE(quota.try_admit(workshop, 200, start));
    quota.give_back(workshop, 200);
    EXPECT_TRUE(quota.try_admit(workshop, 200, start));
}

// Nodes that all admit at the same moment must not multiply the limit: between two exchanges the
// nodes together spend at most twice the bucket.
RC_GTEST_PROP(token_quota, nodes_stay_near_the_limit_between_exchanges, ())
{
    const int nodes = *rc::gen::inRange(2, 12);
    std::vector<token_quota> all(static_cast<std::size_t>(nodes));
    for (token_quota& one : all) {
        one.set_workspaces(limit(100, 1000), start);
        one.set_nodes(nodes);
    }
    double admitted = 0;
    const double cost = *rc::gen::inRange(1, 60);
    for (token_quota& one : all)
        for (int i = 0; i < 200; ++i)
            if (one.try_admit(workshop, cost, start))
                admitted += cost;
    RC_ASSERT(admitted <= 2 * 1000 + nodes * cost);
}

} // namespace
} // namespace chivedeal::forward
