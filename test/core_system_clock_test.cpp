#include "chivedeal/core/system_clock.hpp"

#include "absl/time/clock.h"

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace {

// Seconds by which this thread sees the calendar clock ahead.
thread_local time_t clock_step = 0;

} // namespace

// Stands in for the C library's: the only way to step the clock of one thread.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const auto failure = syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_REALTIME)
        time->tv_sec += clock_step;
    return static_cast<int>(failure);
}

namespace chivedeal {
namespace {

// A clock that extrapolates between readings counted requests into the window before, by up to
// 1.4 s on a busy node, and saw a step of the clock two seconds late.
TEST(system_clock, follows_a_step_of_the_calendar_clock_at_once)
{
    const system_clock clock;
    (void)clock.wall_now();
    // Abseil's clock extrapolates only after two readings that are 2.1 s apart.
    absl::SleepFor(absl::Milliseconds(2300));
    const absl::Time before = clock.wall_now();
    clock_step = 5;
    const absl::Time after = clock.wall_now();
    clock_step = 0;
    EXPECT_GE(after - before, absl::Seconds(5));
    EXPECT_LT(after - before, absl::Seconds(6));
}

TEST(system_clock, keeps_the_steady_clock_from_a_step)
{
    const system_clock clock;
    const absl::Time before = clock.now();
    clock_step = 5;
    const absl::Time after = clock.now();
    clock_step = 0;
    EXPECT_LT(after - before, absl::Seconds(5));
}

} // namespace
} // namespace chivedeal
