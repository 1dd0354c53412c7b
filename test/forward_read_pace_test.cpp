#include "chivedeal/forward/read_pace.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

// Guards against billed reads that a late deadline makes needless: nodes read every 600 ms although
// a change had 4 s to reach them.
TEST(read_pace, later_deadlines_make_reads_rarer)
{
    EXPECT_EQ(read_pace_for(absl::Milliseconds(4000)).wait, absl::Milliseconds(1200));
    EXPECT_EQ(read_pace_for(absl::Milliseconds(2500)).wait, absl::Milliseconds(600));
    EXPECT_EQ(read_pace_for(absl::Milliseconds(100)).wait, absl::Milliseconds(600));
}

// Guards against a change that misses its deadline when the reading peer stops right after a relay:
// a node then waits for the end of the relay's validity, and for a read of its own.
TEST(read_pace, a_node_whose_reader_stopped_reads_before_the_deadline)
{
    for (const int deadline_ms : {2500, 3000, 4000, 8000, 13000}) {
        const absl::Duration deadline = absl::Milliseconds(deadline_ms);
        EXPECT_LE(read_pace_for(deadline).relay_validity + absl::Seconds(1), deadline);
    }
}

} // namespace
} // namespace chivedeal::forward
