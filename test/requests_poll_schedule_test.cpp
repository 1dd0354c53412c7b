#include "chivedeal/requests/poll_schedule.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

membership::membership_view view_of(int endpoints)
{
    membership::membership_view view;
    for (int i = 0; i < endpoints; ++i)
        view.endpoints.push_back({.id = endpoint_id(absl::StrCat("e", i))});
    return view;
}

int polls_within(poll_schedule& schedule, absl::Duration time)
{
    int polls = 0;
    for (absl::Time now = start; now < start + time; now += absl::Milliseconds(1))
        while (schedule.take_due(now))
            ++polls;
    return polls;
}

} // namespace

// Guards against a polling rate that overloads the node when there are many endpoints.
TEST(poll_schedule, bounds_the_rate_of_polls)
{
    poll_schedule schedule(
        {.interval = absl::Milliseconds(500), .min_gap = absl::Milliseconds(10)});
    schedule.on_view(view_of(1800), start);
    EXPECT_LE(polls_within(schedule, absl::Seconds(36)), 3 * 1800);
}

// Guards against endpoints that no partition polls, or more than one.
TEST(poll_schedule, polls_each_endpoint_in_one_part)
{
    int polls = 0;
    for (const std::size_t part : {0U, 1U, 2U}) {
        poll_schedule schedule({.part_index = part, .part_count = 3});
        schedule.on_view(view_of(20), start);
        polls += polls_within(schedule, absl::Milliseconds(400));
        schedule.on_view(view_of(0), start);
        EXPECT_EQ(schedule.next_due(), absl::InfiniteFuture());
    }
    EXPECT_EQ(polls, 20);
}

// Guards against an unresponsive endpoint that is not reported, or is reported more than once.
TEST(poll_schedule, reports_a_silent_endpoint_once)
{
    poll_schedule schedule({});
    schedule.on_view(view_of(1), start);
    int reports = 0;
    for (int i = 0; i < 6; ++i)
        reports += schedule.on_polled(endpoint_id("e0"), false, 0) ? 1 : 0;
    EXPECT_EQ(reports, 1);
    EXPECT_FALSE(schedule.on_polled(endpoint_id("e0"), true, 7));
    EXPECT_EQ(schedule.take_due(start)->after, 7U);
}
