#include "chivedeal/forward/usage_collector.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>

namespace chivedeal::forward {
namespace {

const absl::Time end = absl::FromUnixSeconds(1000);
const workspace_id shop("shop");
const node_id n1("n1");
const node_id n2("n2");

usage_collector make_collector() { return usage_collector({.window = absl::Seconds(5)}); }

usage_report make_report(std::int64_t count, std::int64_t window = 7)
{
    return {.window = window, .counts = {{shop, count}}};
}

TEST(usage_collector, sums_the_counts_of_all_processes)
{
    usage_collector collector = make_collector();
    collector.on_counts(n1, 1, {make_report(3), make_report(1, 8)}, end);
    collector.on_counts(n2, 1, {make_report(4)}, end);
    collector.on_counts(n1, 2, {make_report(2)}, end);
    // Counts are cumulative: a later report replaces the earlier one of the same process.
    collector.on_counts(n1, 1, {make_report(5)}, end);
    EXPECT_EQ(collector.total(7).counts.at(shop), 11);
    EXPECT_EQ(collector.total(8).counts.at(shop), 1);
    EXPECT_TRUE(collector.total(9).counts.empty());
}

TEST(usage_collector, is_complete_after_the_delay_when_all_nodes_reported)
{
    usage_collector collector = make_collector();
    for (const node_id& node : {n1, n2})
        collector.on_counts(node, 1, {make_report(3)}, end + absl::Seconds(1));
    EXPECT_FALSE(collector.is_complete(end, end + absl::Seconds(1)));
    EXPECT_TRUE(collector.is_complete(end, end + absl::Seconds(2)));
}

// Guards against reporting a window before the counts of a partitioned node arrive. Nodes cut off
// from the holder for five seconds kept serving, and their counts (81 of 617 requests) came too
// late for a report after 1.8 s.
TEST(usage_collector, waits_for_a_node_that_went_silent_in_the_window)
{
    usage_collector collector = make_collector();
    collector.on_counts(n1, 1, {make_report(3)}, end + absl::Seconds(1));
    collector.on_counts(n2, 1, {make_report(3)}, end - absl::Seconds(1));
    EXPECT_FALSE(collector.is_complete(end, end + absl::Seconds(4)));
    collector.on_counts(n2, 1, {make_report(9)}, end + absl::Milliseconds(4500));
    EXPECT_TRUE(collector.is_complete(end, end + absl::Milliseconds(4500)));
}

// Guards against waiting for a killed process whose node is back: the late report lost its counts
// when all nodes were killed.
TEST(usage_collector, does_not_wait_for_a_restarted_process)
{
    usage_collector collector = make_collector();
    collector.on_counts(n1, 1, {make_report(3)}, end + absl::Seconds(1));
    collector.on_counts(n2, 1, {make_report(3)}, end - absl::Seconds(1));
    collector.on_counts(n2, 2, {make_report(1)}, end + absl::Seconds(1));
    EXPECT_TRUE(collector.is_complete(end, end + absl::Seconds(2)));
    EXPECT_EQ(collector.total(7).counts.at(shop), 7);
}

TEST(usage_collector, is_complete_without_a_node_that_stays_silent)
{
    usage_collector collector = make_collector();
    collector.on_counts(n1, 1, {make_report(3)}, end + absl::Seconds(1));
    collector.on_counts(n2, 1, {make_report(3)}, end - absl::Seconds(1));
    EXPECT_FALSE(collector.is_complete(end, end + absl::Seconds(4)));
    EXPECT_TRUE(collector.is_complete(end, end + absl::Seconds(5)));
    // A node that was gone before the window started isn't waited for.
    collector.on_counts(n1, 1, {make_report(3)}, end + absl::Seconds(6));
    EXPECT_TRUE(collector.is_complete(end + absl::Seconds(5), end + absl::Seconds(7)));
}

RC_GTEST_PROP(usage_collector, completes_every_window_within_the_maximum_wait, ())
{
    usage_collector collector = make_collector();
    for (int i = 0; i < 20; ++i)
        collector.on_counts(node_id(std::to_string(*rc::gen::inRange(0, 5))), 1, {make_report(i)},
                            end + absl::Milliseconds(*rc::gen::inRange(-20000, 7000)));
    RC_ASSERT(!collector.is_complete(end, end + absl::Milliseconds(1799)));
    RC_ASSERT(collector.is_complete(end, end + absl::Seconds(5)));
}

} // namespace
} // namespace chivedeal::forward
