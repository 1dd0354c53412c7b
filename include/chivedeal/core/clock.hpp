#ifndef CHIVEDEAL_CORE_CLOCK_HPP
#define CHIVEDEAL_CORE_CLOCK_HPP

#include "absl/time/time.h"

namespace chivedeal {

/// Source of time for duties; decision classes get `now` as an argument.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time that also counts while the machine is suspended; never steps.
    virtual absl::Time now() const = 0;

    /// Calendar time, for deadlines that operators set. May step.
    virtual absl::Time wall_now() const = 0;
};

} // namespace chivedeal

#endif
