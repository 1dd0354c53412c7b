#ifndef CHIVEDEAL_CORE_SUPERVISOR_OPTIONS_HPP
#define CHIVEDEAL_CORE_SUPERVISOR_OPTIONS_HPP

#include "absl/time/time.h"

#include <string>

namespace chivedeal {

/// Restart policy of a supervisor.
struct supervisor_options
{
    std::string name;
    /// More restarts than this within `restart_window` pass the fault to the parent.
    int max_restarts = 5;
    absl::Duration restart_window = absl::Seconds(60);
    absl::Duration restart_delay = absl::Milliseconds(100);

    friend bool operator==(const supervisor_options&, const supervisor_options&) = default;
};

} // namespace chivedeal

#endif
