#include "chivedeal/requests/zone_health.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

// Guards against a share outside 0 to 1, and against avoiding a zone indefinitely.
RC_GTEST_PROP(zone_health, share_is_bounded_and_decays, (const std::vector<bool>& outcomes))
{
    zone_health health;
    const zone_id zone("z");
    absl::Time now = absl::FromUnixSeconds(1000);
    for (const bool failed : outcomes)
        health.on_attempt_ended(zone, failed, now += absl::Milliseconds(10));
    const double initial_share = health.failed_share(zone, now);
    RC_ASSERT(initial_share >= 0);
    RC_ASSERT(initial_share < 1);
    RC_ASSERT(health.failed_share(zone, now + absl::Minutes(10)) <= initial_share);
    RC_ASSERT(health.failed_share(zone, now + absl::Minutes(10)) < 0.01);
    RC_ASSERT(health.failed_share(zone_id("other"), now) == 0);
}
