#ifndef CHIVEDEAL_CORE_SYSTEM_CLOCK_HPP
#define CHIVEDEAL_CORE_SYSTEM_CLOCK_HPP

#include "chivedeal/core/clock.hpp"

namespace chivedeal {

/// Reads CLOCK_BOOTTIME, so that a lease also runs out during a suspend.
class system_clock : public clock
{
public:
    absl::Time now() const override;
    absl::Time wall_now() const override;
};

} // namespace chivedeal

#endif
