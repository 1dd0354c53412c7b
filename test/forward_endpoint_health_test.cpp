#include "chivedeal/forward/endpoint_health.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

using state = endpoint_health::state;

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time nothing_to_read = absl::InfinitePast();

state state_at(const endpoint_health& health, absl::Duration after)
{
    return health.at(start + after, nothing_to_read);
}

TEST(endpoint_health, fails_after_three_failures_in_a_row_for_a_while)
{
    endpoint_health health;
    health.on_outcomes(0, 2, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    health.on_outcomes(0, 1, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::failing);
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::usable);
    // The next failure alone takes it out of use again.
    health.on_outcomes(0, 1, start + absl::Seconds(1));
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::failing);
}

TEST(endpoint_health, an_answer_ends_the_row)
{
    endpoint_health health;
    health.on_outcomes(0, 2, start);
    health.on_outcomes(1, 1, start);
    health.on_outcomes(0, 2, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    EXPECT_GT(health.failure_share(), 0.3);
}

TEST(endpoint_health, is_paused_where_it_cannot_be_reached)
{
    endpoint_health health;
    health.on_unreachable(start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::paused);
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::usable);
}

// A request that waits alone at an idle endpoint is no sign of silence once another was answered.
TEST(endpoint_health, any_sign_of_life_ends_the_silence)
{
    endpoint_health health;
    health.on_sent(start);
    health.on_sent(start);
    EXPECT_EQ(state_at(health, absl::Milliseconds(1500)), state::failing);
    health.on_answer_begun(start + absl::Milliseconds(1500));
    EXPECT_EQ(state_at(health, absl::Milliseconds(1600)), state::usable);
    EXPECT_EQ(state_at(health, absl::Seconds(3)), state::failing);
    health.on_unanswered_end();
    EXPECT_EQ(state_at(health, absl::Seconds(3)), state::usable);
}

TEST(endpoint_health, answers_at_other_nodes_count_against_peers_that_find_it_silent)
{
    endpoint_health health;
    health.count_silent_peers(2);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::failing);
    health.on_outcomes(1, 0, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    EXPECT_EQ(state_at(health, absl::Seconds(2)), state::failing);
    health.count_silent_peers(-1);
    EXPECT_EQ(state_at(health, absl::Seconds(2)), state::usable);
}

} // namespace
} // namespace chivedeal::forward
