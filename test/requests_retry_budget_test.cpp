#include "chivedeal/requests/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

// Guards against retries that amplify an outage by granting more than the documented number.
RC_GTEST_PROP(retry_budget, never_exceeds_documented_bound, ())
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 5000), rc::gen::inRange(0, 30), rc::gen::inRange(0, 30)));
    retry_budget budget({.ratio = 0.1, .min_retries = 3, .window = absl::Seconds(10)});
    const absl::Time start = absl::FromUnixSeconds(1000);
    absl::Time now = start;
    int first_attempts = 0;
    int granted = 0;
    for (const auto& [wait_ms, firsts, retries] : steps) {
        now += absl::Milliseconds(wait_ms);
        for (int i = 0; i < firsts; ++i)
            budget.on_first_attempt(now);
        first_attempts += firsts;
        for (int i = 0; i < retries; ++i)
            granted += budget.try_spend(now) ? 1 : 0;
        const double windows = absl::FDivDuration(now - start, absl::Seconds(10));
        RC_ASSERT(granted <= 3 * (1 + windows) + 0.1 * first_attempts + 1e-6);
    }
}

// Guards against a node with little traffic that is never allowed to retry.
TEST(retry_budget, grants_the_minimum)
{
    retry_budget budget;
    const absl::Time now = absl::FromUnixSeconds(1000);
    EXPECT_TRUE(budget.try_spend(now));
    EXPECT_TRUE(budget.try_spend(now));
    EXPECT_TRUE(budget.try_spend(now));
    EXPECT_FALSE(budget.try_spend(now));
    EXPECT_TRUE(budget.try_spend(now + absl::Minutes(1)));
}
