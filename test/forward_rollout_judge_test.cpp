#include "chivedeal/forward/rollout_judge.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

rollout_judge make_judge()
{
    return rollout_judge({},
                         {.service = service_id("drafts"),
                          .target = version_id("v2"),
                          .duration = absl::Seconds(12)},
                         start);
}

TEST(rollout_judge, gives_an_unproven_version_a_small_share)
{
    const rollout_judge judge = make_judge();
    EXPECT_LE(judge.share(), 0.05);
}

TEST(rollout_judge, takes_a_bad_version_back)
{
    rollout_judge judge = make_judge();
    judge.on_outcomes({.target_good = 10, .target_bad = 12, .other_good = 200}, start);
    EXPECT_EQ(judge.state(), rollout_state::rolled_back);
    EXPECT_EQ(judge.share(), 0);
}

// Failures that the old version has as well say nothing of the new one.
TEST(rollout_judge, bears_failures_that_both_versions_have)
{
    rollout_judge judge = make_judge();
    judge.on_outcomes({.target_good = 55, .target_bad = 45, .other_good = 550, .other_bad = 450},
                      start + absl::Seconds(3));
    EXPECT_EQ(judge.state(), rollout_state::running);
}

TEST(rollout_judge, moves_the_traffic_then_reports_a_good_version_done)
{
    rollout_judge judge = make_judge();
    const version_outcomes good{.target_good = 80, .other_good = 900};
    judge.on_outcomes(good, start + absl::Seconds(5));
    EXPECT_LE(judge.share(), 0.05);
    judge.on_outcomes(good, start + absl::Seconds(8));
    EXPECT_EQ(judge.share(), 1);
    EXPECT_EQ(judge.state(), rollout_state::running);
    judge.on_outcomes(good, start + absl::Seconds(11));
    EXPECT_EQ(judge.state(), rollout_state::done);
}

TEST(rollout_judge, takes_back_what_was_not_shown_good_in_time)
{
    rollout_judge judge = make_judge();
    judge.on_outcomes({.target_good = 3}, start + absl::Seconds(11));
    EXPECT_EQ(judge.state(), rollout_state::rolled_back);
}

TEST(rollout_judge, never_leaves_a_final_state)
{
    rollout_judge judge = make_judge();
    judge.on_state(rollout_state::rolled_back);
    judge.on_state(rollout_state::done);
    EXPECT_EQ(judge.state(), rollout_state::rolled_back);
}

} // namespace
} // namespace chivedeal::forward
