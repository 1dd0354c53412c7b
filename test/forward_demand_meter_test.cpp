#include "chivedeal/forward/demand_meter.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");

TEST(demand_meter, counts_what_is_added_in_its_span)
{
    demand_meter meter;
    meter.on_counts("n1", {{drafts, 5000}}, start);
    EXPECT_EQ(meter.tokens_per_second(drafts, start), 0);
    meter.on_counts("n1", {{drafts, 9000}}, start + absl::Seconds(1));
    EXPECT_EQ(meter.tokens_per_second(drafts, start + absl::Seconds(1)), 1000);
    EXPECT_EQ(meter.tokens_per_second(drafts, start + absl::Seconds(6)), 0);
}

// A restarted holder of the lease gave up nearly all endpoints, since it had heard of no requests
// yet (inc-2353: the share served in time fell to 0.2 for four seconds).
TEST(demand_meter, tells_when_it_has_heard_for_too_short)
{
    demand_meter meter;
    EXPECT_FALSE(meter.covers_span(start));
    meter.on_counts("n1", {{drafts, 5000}}, start);
    EXPECT_FALSE(meter.covers_span(start + absl::Seconds(2)));
    EXPECT_TRUE(meter.covers_span(start + absl::Seconds(4)));
}

} // namespace
} // namespace chivedeal::forward
