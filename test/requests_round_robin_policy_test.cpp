#include "chivedeal/requests/round_robin_policy.hpp"

#include "chivedeal/requests/route_choice.hpp"

#include "fakes/cluster_builder.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

// Guards against an uneven baseline, which would make the policies compared with it look better.
TEST(round_robin_policy, takes_live_endpoints_in_turn)
{
    fakes::cluster_builder cluster(4);
    cluster.view().endpoints[1].status = membership::endpoint_status::leaving;
    round_robin_policy policy;
    const absl::Time now = absl::FromUnixSeconds(1000);
    policy.on_state(cluster.make_state());
    policy.on_view(cluster.make_view(), now);
    std::map<std::string, int> uses;
    for (int i = 0; i < 9; ++i)
        ++uses[get_value(policy.choose(fakes::cluster_builder::query("r"), now)).target.id.str()];
    EXPECT_EQ(uses, (std::map<std::string, int>{{"e0", 3}, {"e2", 3}, {"e3", 3}}));
}
