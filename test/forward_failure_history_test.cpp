#include "chivedeal/forward/failure_history.hpp"

#include <gtest/gtest.h>

#include <random>

namespace chivedeal::forward {
namespace {

// Guards against taking the failures of an incident for usual, which would excuse those of a bad
// version later.
TEST(failure_history, leaves_out_intervals_with_unusually_many_failures)
{
    failure_history history;
    for (int i = 0; i < 3; ++i)
        history.add({.good = 45, .bad = 0});
    for (int i = 0; i < 4; ++i)
        history.add({.good = 25, .bad = 20});
    EXPECT_EQ(history.usual(), (response_counts{.good = 135, .bad = 0}));
}

// Guards against an estimate that is too low because only the best intervals count.
TEST(failure_history, has_the_rate_of_failures_that_occur_by_chance)
{
    std::mt19937 random(3);
    for (const double rate : {0.03, 0.08, 0.3}) {
        failure_history history;
        response_counts all;
        for (int i = 0; i < 40; ++i) {
            const auto bad = std::binomial_distribution<std::int64_t>(45, rate)(random);
            history.add({.good = 45 - bad, .bad = bad});
            all.add({.good = 45 - bad, .bad = bad});
        }
        EXPECT_NEAR(history.usual().failure_rate(), all.failure_rate(), 0.1 * rate);
    }
}

TEST(failure_history, knows_no_rate_without_responses)
{
    failure_history history;
    history.add({});
    EXPECT_EQ(history.usual().total(), 0);
}

} // namespace
} // namespace chivedeal::forward
