#include "chivedeal/forward/rollout_evaluator.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

rollout_evaluator make_evaluator()
{
    return rollout_evaluator({},
                             {.service = service_id("drafts"),
                              .target = version_id("v2"),
                              .duration = absl::Seconds(12)},
                             start);
}

TEST(rollout_evaluator, gives_an_unproven_version_a_small_share)
{
    const rollout_evaluator evaluator = make_evaluator();
    EXPECT_LE(evaluator.share(), 0.05);
}

TEST(rollout_evaluator, rolls_back_a_bad_version)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_good = 10, .target_bad = 12, .other_good = 200}, start);
    EXPECT_EQ(evaluator.state(), rollout_state::rolled_back);
    EXPECT_EQ(evaluator.share(), 0);
}

// Guards against blaming a new version for failures that the old version has as well.
TEST(rollout_evaluator, tolerates_failures_that_both_versions_share)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes(
        {.target_good = 55, .target_bad = 45, .other_good = 550, .other_bad = 450},
        start + absl::Seconds(3));
    EXPECT_EQ(evaluator.state(), rollout_state::running);
}

// Guards against rolling back the only version that serves a service because of failures that are
// usual for it.
TEST(rollout_evaluator, keeps_a_version_without_another_to_compare_it_with)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_good = 86, .target_bad = 14}, start + absl::Seconds(3));
    EXPECT_EQ(evaluator.state(), rollout_state::running);
    evaluator.on_outcomes({.target_good = 172, .target_bad = 28}, start + absl::Seconds(11));
    EXPECT_EQ(evaluator.state(), rollout_state::done);
}

// Guards against completing a version that fails always, as no other version had responses.
TEST(rollout_evaluator, rolls_back_a_version_without_good_responses)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_bad = 500}, start + absl::Seconds(11));
    EXPECT_EQ(evaluator.state(), rollout_state::rolled_back);
}

TEST(rollout_evaluator, moves_all_traffic_before_a_good_version_is_done)
{
    rollout_evaluator evaluator = make_evaluator();
    const version_outcomes good{.target_good = 80, .other_good = 900};
    evaluator.on_outcomes(good, start + absl::Seconds(5));
    EXPECT_LE(evaluator.share(), 0.05);
    evaluator.on_outcomes(good, start + absl::Seconds(8));
    EXPECT_EQ(evaluator.share(), 1);
    EXPECT_EQ(evaluator.state(), rollout_state::running);
    evaluator.on_outcomes(good, start + absl::Seconds(11));
    EXPECT_EQ(evaluator.state(), rollout_state::done);
}

TEST(rollout_evaluator, rolls_back_a_version_not_proven_in_time)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_good = 3}, start + absl::Seconds(11));
    EXPECT_EQ(evaluator.state(), rollout_state::rolled_back);
}

TEST(rollout_evaluator, never_leaves_a_final_state)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_good = 10, .target_bad = 12, .other_good = 200}, start);
    ASSERT_EQ(evaluator.state(), rollout_state::rolled_back);
    evaluator.on_proven();
    evaluator.on_outcomes({.target_good = 900, .target_bad = 12, .other_good = 900},
                          start + absl::Seconds(11));
    EXPECT_EQ(evaluator.state(), rollout_state::rolled_back);
}

// Guards against a bad version of a service with few requests that gets more than the platform allows:
// a tenth of the requests and 50.
TEST(rollout_evaluator, bounds_the_larger_share_of_a_service_with_few_requests)
{
    for (int requests_per_s = 2; requests_per_s <= 400; requests_per_s += 7) {
        rollout_evaluator evaluator({.extra_responses = 40},
                                    {.service = service_id("drafts"),
                                     .target = version_id("v2"),
                                     .duration = absl::Seconds(12)},
                                    start);
        double target = 0;
        double all = 0;
        double share = evaluator.share();
        for (int half_seconds = 1; half_seconds <= 13; ++half_seconds) {
            all += requests_per_s / 2.0;
            target += share * requests_per_s / 2.0;
            share = evaluator.share();
            evaluator.on_outcomes({.target_good = static_cast<std::int64_t>(target),
                                   .other_good = static_cast<std::int64_t>(all - target)},
                                  start + absl::Milliseconds(500) * half_seconds);
        }
        EXPECT_LE(target, 0.1 * all + 50) << requests_per_s;
    }
}

// Guards against a sound version that is never done because the store takes more than a second for
// each answer, and the evaluations are as far apart.
TEST(rollout_evaluator, ends_although_its_evaluations_are_far_apart)
{
    rollout_evaluator evaluator({.outcome_delay = absl::Seconds(1)},
                                {.service = service_id("drafts"),
                                 .target = version_id("v2"),
                                 .duration = absl::Seconds(12)},
                                start);
    version_outcomes total{.target_good = 10, .other_good = 100};
    for (absl::Time now = start; now < start + absl::Seconds(15); now += absl::Seconds(1.5)) {
        evaluator.on_outcomes(total, now);
        evaluator.on_outcomes(total, now);
        total.target_good += 20;
        total.other_good += 100;
    }
    EXPECT_EQ(evaluator.state(), rollout_state::done);
}

// Guards against a larger share on a platform that allows none.
TEST(rollout_evaluator, keeps_to_its_share_without_extra_responses)
{
    rollout_evaluator evaluator = make_evaluator();
    evaluator.on_outcomes({.target_good = 1, .other_good = 60}, start + absl::Seconds(1));
    EXPECT_LE(evaluator.share(), 0.05);
}

// Guards against a time in which the target failed less than the others and that excuses as many
// failures later.
TEST(rollout_evaluator, counts_failures_from_the_lowest_excess)
{
    rollout_evaluator evaluator = make_evaluator();
    version_outcomes total{.target_good = 80,
                           .target_bad = 20,
                           .other_good = 500,
                           .other_bad = 400,
                           .compared_good = 80,
                           .compared_bad = 20,
                           .expected_bad_milli = 45000};
    evaluator.on_outcomes(total, start + absl::Seconds(3));
    EXPECT_EQ(evaluator.state(), rollout_state::running);
    total.target_bad = total.compared_bad = 32;
    evaluator.on_outcomes(total, start + absl::Seconds(5));
    EXPECT_EQ(evaluator.state(), rollout_state::rolled_back);
}

// Guards against a version that is done while its failures go on, just below the limit.
TEST(rollout_evaluator, waits_while_the_excess_is_rising)
{
    rollout_evaluator evaluator = make_evaluator();
    version_outcomes total{.target_good = 100, .other_good = 900};
    evaluator.on_outcomes(total, start + absl::Seconds(8));
    ASSERT_TRUE(evaluator.is_proven());
    for (int half_seconds = 17; half_seconds <= 23; ++half_seconds) {
        ++total.target_bad;
        total.target_good += 70;
        evaluator.on_outcomes(total, start + absl::Seconds(half_seconds * 0.5));
    }
    EXPECT_EQ(evaluator.state(), rollout_state::running);
    for (int half_seconds = 24; half_seconds <= 34; ++half_seconds) {
        total.target_good += 70;
        evaluator.on_outcomes(total, start + absl::Seconds(half_seconds * 0.5));
    }
    EXPECT_EQ(evaluator.state(), rollout_state::done);
}

} // namespace
} // namespace chivedeal::forward
