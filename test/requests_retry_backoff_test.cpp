#include "chivedeal/requests/retry_backoff.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

// Guards against a delay outside its bounds, and against one that is not reproducible.
RC_GTEST_PROP(retry_backoff, stays_in_bounds, (const std::string& request, int attempt))
{
    const retry_backoff backoff({.base = absl::Milliseconds(20), .cap = absl::Seconds(1)});
    const absl::Duration delay = backoff.delay(request_id(request), attempt);
    RC_ASSERT(delay >= absl::Milliseconds(10));
    RC_ASSERT(delay <= absl::Seconds(1));
    RC_ASSERT(delay == backoff.delay(request_id(request), attempt));
}

// Guards against synchronized retries of many requests.
TEST(retry_backoff, spreads_requests)
{
    const retry_backoff backoff;
    std::set<absl::Duration> delays;
    for (int i = 0; i < 100; ++i)
        delays.insert(backoff.delay(request_id("r" + std::to_string(i)), 1));
    EXPECT_EQ(delays.size(), 100U);
}
