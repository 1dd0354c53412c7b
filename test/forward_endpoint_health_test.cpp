#include "chivedeal/forward/endpoint_health.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

using state = endpoint_health::state;

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time no_pending_prefill = absl::InfinitePast();

state state_at(const endpoint_health& health, absl::Duration after)
{
    return health.state_at(start + after, no_pending_prefill);
}

// Without the pause, a broken endpoint would keep receiving requests and fail all of them.
TEST(endpoint_health, is_failing_for_a_while_after_three_consecutive_failures)
{
    endpoint_health health;
    health.on_outcomes(0, 2, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    health.on_outcomes(0, 1, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::failing);
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::usable);
    // A single further failure makes it failing again.
    health.on_outcomes(0, 1, start + absl::Seconds(1));
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::failing);
}

// Occasional failures between successful requests must not add up to a pause.
TEST(endpoint_health, answered_request_resets_the_consecutive_failures)
{
    endpoint_health health;
    health.on_outcomes(0, 2, start);
    health.on_outcomes(1, 1, start);
    health.on_outcomes(0, 2, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    EXPECT_GT(health.failure_share(), 0.3);
}

TEST(endpoint_health, pauses_an_unreachable_endpoint)
{
    endpoint_health health;
    health.on_unreachable(start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::paused);
    EXPECT_EQ(state_at(health, absl::Seconds(1)), state::usable);
}

// An endpoint that responds to some requests has not hung. Without this rule, one slow request
// would take it out of use.
TEST(endpoint_health, any_response_ends_the_silence)
{
    endpoint_health health;
    health.on_sent(start);
    health.on_sent(start);
    EXPECT_EQ(state_at(health, absl::Milliseconds(1500)), state::failing);
    health.on_response_started(start + absl::Milliseconds(1500));
    EXPECT_EQ(state_at(health, absl::Milliseconds(1600)), state::usable);
    EXPECT_EQ(state_at(health, absl::Seconds(3)), state::failing);
    health.on_ended_without_response();
    EXPECT_EQ(state_at(health, absl::Seconds(3)), state::usable);
}

// Peers that lost their connection to an endpoint report it as silent. They must not take it out of
// use while it answers other nodes.
TEST(endpoint_health, responses_to_other_nodes_override_silence_reports)
{
    endpoint_health health;
    health.adjust_silent_peers(2);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::failing);
    health.on_outcomes(1, 0, start);
    EXPECT_EQ(state_at(health, absl::ZeroDuration()), state::usable);
    EXPECT_EQ(state_at(health, absl::Seconds(2)), state::failing);
    health.adjust_silent_peers(-1);
    EXPECT_EQ(state_at(health, absl::Seconds(2)), state::usable);
}

} // namespace
} // namespace chivedeal::forward
