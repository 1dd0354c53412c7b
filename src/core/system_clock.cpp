#include "chivedeal/core/system_clock.hpp"

#include <ctime>

namespace chivedeal {

namespace {

absl::Time read_clock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return absl::TimeFromTimespec(time);
}

} // namespace

absl::Time system_clock::now() const { return read_clock(CLOCK_BOOTTIME); }

// `absl::Now` extrapolates from the processor's cycle counter for up to two seconds: it misses a
// step of the clock, and is off where the counter runs at another speed than the clock.
absl::Time system_clock::wall_now() const { return read_clock(CLOCK_REALTIME); }

} // namespace chivedeal
