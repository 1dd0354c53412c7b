#include "chivedeal/requests/drain_controller.hpp"

#include <gtest/gtest.h>

using chivedeal::requests::drain_controller;
using step = drain_controller::step;
using steps = std::vector<step>;

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

} // namespace

// Guards against refusing callers whose address list is still valid.
TEST(drain_controller, accepts_requests_until_address_ttl_expires)
{
    drain_controller drain({.address_ttl = absl::Seconds(5)});
    EXPECT_EQ(drain.advance(start, 0), steps{});
    drain.start(start);
    EXPECT_EQ(drain.advance(start, 3), steps{step::delist});
    EXPECT_EQ(drain.advance(start + absl::Seconds(4.9), 0), steps{});
    EXPECT_EQ(drain.advance(start + absl::Seconds(5), 1), steps{step::close_intake});
}

// Guards against a stop while requests are open, and against a drain that never ends.
TEST(drain_controller, stops_once_no_request_is_open)
{
    drain_controller drain({.address_ttl = absl::Seconds(5), .drain_grace = absl::Seconds(10)});
    drain.start(start);
    (void)drain.advance(start + absl::Seconds(5), 1);
    (void)drain.advance(start + absl::Seconds(10), 1);
    EXPECT_EQ(drain.advance(start + absl::Seconds(19.9), 1), steps{});
    EXPECT_EQ(drain.advance(start + absl::Seconds(20), 1), steps{step::hand_off});
    EXPECT_EQ(drain.advance(start + absl::Seconds(21), 1), steps{});
    EXPECT_EQ(drain.advance(start + absl::Seconds(22), 1), steps{step::hand_off});
    EXPECT_EQ(drain.advance(start + absl::Seconds(23), 0), steps{step::stop});
    EXPECT_EQ(drain.advance(start + absl::Seconds(24), 0), steps{});
}

// Guards against waiting for the grace period when no stream is open.
TEST(drain_controller, skips_grace_period_without_streams)
{
    drain_controller drain({.address_ttl = absl::Seconds(5)});
    drain.start(start);
    (void)drain.advance(start, 0);
    const steps expected{step::close_intake, step::hand_off};
    EXPECT_EQ(drain.advance(start + absl::Seconds(5), 0), expected);
    EXPECT_EQ(drain.advance(start + absl::Seconds(5), 0), steps{step::stop});
}
