#include "chivedeal/forward/retry_rule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace chivedeal::forward {
namespace {

// A request whose connection broke after it was sent may have run; a retry could run it twice.
TEST(retry_rule, does_not_retry_request_that_may_have_run)
{
    retry_rule rule({.max_attempts = 3, .may_repeat = false});
    rule.on_sent();
    rule.on_outcome(attempt_outcome::broken);
    EXPECT_FALSE(rule.may_retry());
    EXPECT_TRUE(rule.may_have_run());
}

TEST(retry_rule, retries_refused_request)
{
    retry_rule rule({.max_attempts = 2, .may_repeat = false});
    rule.on_sent();
    rule.on_outcome(attempt_outcome::refused);
    EXPECT_TRUE(rule.may_retry());
    EXPECT_TRUE(rule.is_retry());
    EXPECT_FALSE(rule.may_have_run());
}

// An attempt that got no connection must not use up the only attempt of the request.
TEST(retry_rule, does_not_count_unsent_attempt)
{
    retry_rule rule({.max_attempts = 1, .may_repeat = false});
    rule.on_outcome(attempt_outcome::not_sent);
    EXPECT_TRUE(rule.may_retry());
    EXPECT_FALSE(rule.is_retry());
}

// A non-repeatable request sent again after an attempt that may have run would run twice.
RC_GTEST_PROP(retry_rule, bounds_attempts_and_runs_for_any_outcomes, ())
{
    const int max_attempts = *rc::gen::inRange(1, 5);
    const bool may_repeat = *rc::gen::arbitrary<bool>();
    retry_rule rule({.max_attempts = max_attempts, .may_repeat = may_repeat});
    int runs_possible = 0;
    int attempts_sent = 0;
    while (rule.may_retry() && attempts_sent < 20) {
        const auto outcome = static_cast<attempt_outcome>(*rc::gen::inRange(0, 6));
        if (outcome != attempt_outcome::not_sent) {
            rule.on_sent();
            ++attempts_sent;
        }
        else if (*rc::gen::arbitrary<bool>()) {
            break;
        }
        rule.on_outcome(outcome);
        const bool may_have_run = outcome == attempt_outcome::broken ||
                                  outcome == attempt_outcome::timed_out ||
                                  outcome == attempt_outcome::failed;
        runs_possible += may_have_run ? 1 : 0;
        // A false "not run" would let the caller repeat a request that an endpoint has run.
        RC_ASSERT(rule.may_have_run() == (runs_possible > 0));
    }
    RC_ASSERT(attempts_sent <= max_attempts);
    RC_ASSERT(may_repeat || runs_possible <= 1);
}

} // namespace
} // namespace chivedeal::forward
