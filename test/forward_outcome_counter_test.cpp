#include "chivedeal/forward/outcome_counter.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");
const version_id old_version("v1");
const version_id new_version("v2");

outcome_counter make_counter()
{
    outcome_counter counter;
    counter.start_counting({.service = drafts, .target = new_version, .offset = 7});
    return counter;
}

// Guards against completing the roll-out of a version that answers several times slower: on a
// lightly loaded system, its responses are still within their latency objective.
TEST(outcome_counter, counts_a_response_that_is_much_slower_than_the_old_version_as_bad)
{
    outcome_counter counter = make_counter();
    for (int i = 0; i < 30; ++i) {
        counter.count_response(drafts, old_version, "chat", 8 + i % 5, true, start);
        counter.count_response(drafts, old_version, "label", 100, true, start);
    }
    for (int i = 0; i < 10; ++i)
        counter.count_response(drafts, new_version, "chat", 40, true, start);
    counter.count_response(drafts, new_version, "chat", 12, true, start);
    counter.count_response(drafts, new_version, "label", 110, true, start);
    counter.count_response(drafts, new_version, "label", std::nullopt, true, start);
    ASSERT_EQ(counter.snapshot().size(), 1U);
    const version_outcomes outcomes = counter.snapshot().front();
    EXPECT_EQ(outcomes.target_bad, 10);
    EXPECT_EQ(outcomes.target_good, 3);
    EXPECT_EQ(outcomes.other_bad, 0);
    EXPECT_EQ(outcomes.other_good, 60);
}

// Guards against judging a version by too few responses of the others.
TEST(outcome_counter, judges_no_pace_without_enough_responses_of_the_old_version)
{
    outcome_counter counter = make_counter();
    counter.count_response(drafts, old_version, "chat", 8, true, start);
    counter.count_response(drafts, new_version, "chat", 80, true, start);
    EXPECT_EQ(counter.snapshot().front().target_bad, 0);
}

// Guards against taking back a sound version once it has all traffic: under that load it is slower
// than the old version was beside it.
TEST(outcome_counter, judges_no_pace_while_the_old_version_gets_no_requests)
{
    outcome_counter counter = make_counter();
    for (int i = 0; i < 30; ++i)
        counter.count_response(drafts, old_version, "chat", 8, true, start);
    counter.count_response(drafts, new_version, "chat", 20, true, start + absl::Seconds(4));
    EXPECT_EQ(counter.snapshot().front().target_bad, 0);
}

// Guards against comparing a new version with the pace at the time of an earlier roll-out.
TEST(outcome_counter, forgets_the_pace_of_an_earlier_rollout)
{
    outcome_counter counter = make_counter();
    for (int i = 0; i < 30; ++i)
        counter.count_response(drafts, old_version, "chat", 8, true, start);
    counter.start_counting({.service = drafts, .target = version_id("v3"), .offset = 9});
    counter.count_response(drafts, version_id("v3"), "chat", 80, true, start);
    EXPECT_EQ(counter.snapshot().front().target_bad, 0);
}

} // namespace
} // namespace chivedeal::forward
