#include "chivedeal/forward/node_count_estimate.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time soon = start + absl::Milliseconds(300);
const absl::Time later = start + absl::Seconds(3);

// All nodes that restart together would each grant the whole limit until they hear of each other.
TEST(node_count_estimate, assumes_many_nodes_after_a_restart)
{
    const node_count_estimate estimate({.started_at = start});
    EXPECT_EQ(estimate.count(1, start), 100);
    EXPECT_EQ(estimate.count(150, soon), 150);
    EXPECT_EQ(estimate.count(1, later), 1);
}

TEST(node_count_estimate, counts_listed_nodes_until_it_has_heard_of_its_peers)
{
    node_count_estimate estimate({.started_at = start});
    estimate.on_listed(9);
    EXPECT_EQ(estimate.count(2, soon), 9);
    EXPECT_EQ(estimate.count(2, later), 2);
}

// Nothing was admitted before the first start, and the buckets are full.
TEST(node_count_estimate, trusts_what_it_hears_at_the_first_start)
{
    const node_count_estimate estimate({.started_at = start, .is_first_start = true});
    EXPECT_EQ(estimate.count(1, start), 1);
}

} // namespace
} // namespace chivedeal::forward
