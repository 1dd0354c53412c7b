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

// Counts responses of one second, good and bad ones evenly spread.
void count_second(outcome_counter& counter, const version_id& version, const char* route, int good,
                  int bad, absl::Time begin)
{
    const int total = good + bad;
    for (int i = 0; i < total; ++i) {
        const bool is_bad = (i + 1) * bad / total > i * bad / total;
        counter.count(drafts, version, route, !is_bad, begin + absl::Seconds(i) / total);
    }
}

// Guards against failures of the old version that excuse those of a bad one at another time.
TEST(outcome_counter, compares_the_responses_of_the_same_interval)
{
    outcome_counter counter = make_counter();
    for (int second = 0; second < 8; ++second) {
        const int old_bad = second < 4 ? 0 : 30;
        const int new_bad = second < 4 ? 5 : 0;
        count_second(counter, old_version, "chat", 60 - old_bad, old_bad,
                     start + absl::Seconds(second));
        count_second(counter, new_version, "chat", 10 - new_bad, new_bad,
                     start + absl::Seconds(second));
    }
    const version_outcomes outcomes = counter.snapshot().front();
    EXPECT_EQ(outcomes.compared_bad, 20);
    EXPECT_EQ(outcomes.compared_good, 60);
    // Of 40 responses in the four seconds in which half of the old version's failed.
    EXPECT_NEAR(static_cast<double>(outcomes.expected_bad_milli), 20000, 1500);
}

// Guards against a version that fails on one route only and is excused by failures on another.
TEST(outcome_counter, compares_the_responses_of_the_same_route)
{
    outcome_counter counter = make_counter();
    for (int second = 0; second < 4; ++second) {
        const absl::Time begin = start + absl::Seconds(second);
        count_second(counter, old_version, "chat", 30, 30, begin);
        count_second(counter, old_version, "label", 60, 0, begin);
        count_second(counter, new_version, "label", 0, 5, begin);
    }
    const version_outcomes outcomes = counter.snapshot().front();
    EXPECT_EQ(outcomes.compared_bad, 20);
    EXPECT_LE(outcomes.expected_bad_milli, 1000);
}

// Guards against a version that is judged by a few late responses of the old one, or by an incident
// of before, when nearly all traffic has moved.
TEST(outcome_counter, compares_with_the_usual_failures_when_the_traffic_has_moved)
{
    outcome_counter counter = make_counter();
    for (int second = 0; second < 8; ++second) {
        const int old_bad = second < 4 ? 0 : 27;
        count_second(counter, old_version, "chat", 60 - old_bad, old_bad,
                     start + absl::Seconds(second));
    }
    counter.count(drafts, old_version, "chat", false, start + absl::Seconds(9));
    count_second(counter, new_version, "chat", 80, 20, start + absl::Seconds(9));
    const version_outcomes outcomes = counter.snapshot().front();
    EXPECT_EQ(outcomes.compared_bad, 20);
    EXPECT_LE(outcomes.expected_bad_milli, 5000);
}

// Guards against a sound version that is tried again and again, and a bad one that gets more trials
// than it may have.
TEST(outcome_counter, tries_a_route_until_it_has_a_good_response)
{
    outcome_counter counter = make_counter();
    EXPECT_FALSE(counter.take_trial(service_id("other"), "chat", 3, start));
    absl::Time now = start;
    const auto next_trial = [&](const char* route) {
        now += absl::Seconds(1);
        return counter.take_trial(drafts, route, 3, now);
    };
    EXPECT_TRUE(next_trial("chat"));
    EXPECT_FALSE(counter.take_trial(drafts, "label", 3, now));
    counter.count(drafts, new_version, "chat", true, now);
    EXPECT_FALSE(next_trial("chat"));
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(next_trial("label"));
        counter.count(drafts, new_version, "label", false, now);
    }
    EXPECT_FALSE(next_trial("label"));
}

// Guards against a comparison with an abandoned version.
TEST(outcome_counter, counts_only_the_target_and_the_stable_versions)
{
    outcome_counter counter = make_counter();
    counter.set_stable(drafts, {old_version});
    counter.count(drafts, version_id("v0"), "chat", false, start);
    counter.count(drafts, old_version, "chat", true, start);
    EXPECT_EQ(counter.snapshot().front().other_bad, 0);
    EXPECT_EQ(counter.snapshot().front().other_good, 1);
}

// Guards against failures that are held against a version although no response of another one tells
// whether they are usual.
TEST(outcome_counter, compares_nothing_without_responses_of_stable_versions)
{
    outcome_counter counter = make_counter();
    count_second(counter, new_version, "chat", 5, 5, start);
    const version_outcomes outcomes = counter.snapshot().front();
    EXPECT_EQ(outcomes.target_bad, 5);
    EXPECT_EQ(outcomes.compared_bad, 0);
}

} // namespace
} // namespace chivedeal::forward
