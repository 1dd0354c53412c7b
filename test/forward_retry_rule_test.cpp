#include "chivedeal/forward/retry_rule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace chivedeal::forward {
namespace {

// A request whose first attempt broke off may have run; a second one would run it twice.
TEST(retry_rule, never_repeats_what_may_have_run)
{
    retry_rule rule({.attempts = 3, .may_repeat = false});
    rule.on_sent();
    rule.on_outcome(attempt_outcome::broken);
    EXPECT_FALSE(rule.may_retry());
    EXPECT_TRUE(rule.may_have_run());
}

TEST(retry_rule, repeats_what_the_endpoint_refused)
{
    retry_rule rule({.attempts = 2, .may_repeat = false});
    rule.on_sent();
    rule.on_outcome(attempt_outcome::refused);
    EXPECT_TRUE(rule.may_retry());
    EXPECT_TRUE(rule.is_repeat());
    EXPECT_FALSE(rule.may_have_run());
}

// An attempt that found no connection uses up nothing.
TEST(retry_rule, counts_no_attempt_that_never_left)
{
    retry_rule rule({.attempts = 1, .may_repeat = false});
    rule.on_outcome(attempt_outcome::not_sent);
    EXPECT_TRUE(rule.may_retry());
    EXPECT_FALSE(rule.is_repeat());
}

RC_GTEST_PROP(retry_rule, keeps_its_promises_over_any_outcomes, ())
{
    const int attempts = *rc::gen::inRange(1, 5);
    const bool may_repeat = *rc::gen::arbitrary<bool>();
    retry_rule rule({.attempts = attempts, .may_repeat = may_repeat});
    int maybe_run = 0;
    int sent = 0;
    while (rule.may_retry() && sent < 20) {
        const auto outcome = static_cast<attempt_outcome>(*rc::gen::inRange(0, 6));
        if (outcome != attempt_outcome::not_sent) {
            rule.on_sent();
            ++sent;
        }
        else if (*rc::gen::arbitrary<bool>()) {
            break;
        }
        rule.on_outcome(outcome);
        const bool ran_perhaps = outcome == attempt_outcome::broken ||
                                 outcome == attempt_outcome::timed_out ||
                                 outcome == attempt_outcome::failed;
        maybe_run += ran_perhaps ? 1 : 0;
        // "Not run" is never said of a request that an endpoint may have run.
        RC_ASSERT(rule.may_have_run() == (maybe_run > 0));
    }
    RC_ASSERT(sent <= attempts);
    RC_ASSERT(may_repeat || maybe_run <= 1);
}

} // namespace
} // namespace chivedeal::forward
