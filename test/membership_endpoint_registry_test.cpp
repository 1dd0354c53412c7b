#include "chivedeal/membership/endpoint_registry.hpp"

#include <gtest/gtest.h>

using namespace chivedeal;
using membership::endpoint;
using membership::endpoint_registry;
using membership::endpoint_status;

namespace {

const endpoint_id first{"i1"};
const endpoint_id second{"i2"};
const std::vector<endpoint> both{{.id = first}, {.id = second}};

} // namespace

// Guards against a lagging list that brings a leaving endpoint back to life.
TEST(endpoint_registry, keeps_a_leaving_endpoint_leaving)
{
    endpoint_registry registry;
    EXPECT_TRUE(registry.mark_leaving(first, absl::FromUnixSeconds(5)));
    registry.apply_list(both);
    EXPECT_EQ(registry.endpoints()[0].status, endpoint_status::leaving);
    EXPECT_EQ(registry.endpoints()[0].reclaim_at, absl::FromUnixSeconds(5));
    EXPECT_EQ(registry.endpoints()[1].status, endpoint_status::live);
    registry.apply_list({});
    registry.apply_list({});
    EXPECT_EQ(registry.apply_list(both).listed.size(), 2U);
    EXPECT_EQ(registry.endpoints()[0].status, endpoint_status::leaving);
}

// Guards against one incomplete list that empties the node's set of endpoints.
TEST(endpoint_registry, drops_an_endpoint_after_two_lists_without_it)
{
    endpoint_registry registry;
    registry.apply_list(both);
    EXPECT_TRUE(registry.apply_list({both[0]}).gone.empty());
    registry.apply_list(both);
    registry.apply_list({both[0]});
    EXPECT_EQ(registry.endpoints().size(), 2U);
    EXPECT_EQ(registry.apply_list({both[0]}).gone, std::vector{second});
    EXPECT_EQ(registry.endpoints().size(), 1U);
}

// Guards against a list's `leaving` that is forgotten when the list shows `live` again.
TEST(endpoint_registry, takes_leaving_from_the_list)
{
    endpoint_registry registry;
    auto list = both;
    list[1].status = endpoint_status::leaving;
    EXPECT_EQ(registry.apply_list(list).leaving, std::vector{second});
    EXPECT_TRUE(registry.apply_list(both).leaving.empty());
    EXPECT_EQ(registry.endpoints()[1].status, endpoint_status::leaving);
}

// Guards against a failure report that hides the reclaim time of a later notice.
TEST(endpoint_registry, takes_the_first_known_reclaim_time)
{
    endpoint_registry registry;
    EXPECT_TRUE(registry.mark_leaving(first, absl::InfiniteFuture()));
    EXPECT_TRUE(registry.mark_leaving(first, absl::FromUnixSeconds(5)));
    EXPECT_FALSE(registry.mark_leaving(first, absl::FromUnixSeconds(9)));
    registry.apply_list(both);
    EXPECT_EQ(registry.endpoints()[0].reclaim_at, absl::FromUnixSeconds(5));
}
