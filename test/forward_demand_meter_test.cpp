#include "chivedeal/forward/demand_meter.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");

TEST(demand_meter, averages_added_tokens_over_the_window)
{
    demand_meter meter;
    meter.on_counts("n1", {{drafts, 5000}}, start);
    EXPECT_EQ(meter.tokens_per_second(drafts, start), 0);
    meter.on_counts("n1", {{drafts, 9000}}, start + absl::Seconds(1));
    EXPECT_EQ(meter.tokens_per_second(drafts, start + absl::Seconds(1)), 1000);
    EXPECT_EQ(meter.tokens_per_second(drafts, start + absl::Seconds(6)), 0);
}

// Guards against a restarted lease holder that releases nearly all endpoints because it has not
// heard of any requests yet. The share served in time fell to 0.2 for four seconds.
TEST(demand_meter, does_not_cover_the_window_right_after_a_start)
{
    demand_meter meter;
    EXPECT_FALSE(meter.covers_averaging_window(start));
    meter.on_counts("n1", {{drafts, 5000}}, start);
    EXPECT_FALSE(meter.covers_averaging_window(start + absl::Seconds(2)));
    EXPECT_TRUE(meter.covers_averaging_window(start + absl::Seconds(4)));
}

} // namespace
} // namespace chivedeal::forward
