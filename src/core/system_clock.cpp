#include "chivedeal/core/system_clock.hpp"

#include "absl/time/clock.h"

#include <ctime>

namespace chivedeal {

absl::Time system_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::TimeFromTimespec(time);
}

absl::Time system_clock::wall_now() const { return absl::Now(); }

} // namespace chivedeal
