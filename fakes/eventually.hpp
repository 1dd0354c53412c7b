#ifndef CHIVEDEAL_FAKES_EVENTUALLY_HPP
#define CHIVEDEAL_FAKES_EVENTUALLY_HPP

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <functional>

namespace chivedeal::fakes {

/// Waits until `holds` is true, at most for `patience`; returns whether it is.
inline bool eventually(absl::Duration patience, const std::function<bool()>& holds)
{
    const absl::Time until = absl::Now() + patience;
    while (!holds()) {
        if (absl::Now() >= until)
            return false;
        absl::SleepFor(absl::Milliseconds(2));
    }
    return true;
}

} // namespace chivedeal::fakes

#endif
