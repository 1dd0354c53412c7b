#ifndef CHIVEDEAL_FORWARD_QUARANTINE_CHANGE_HPP
#define CHIVEDEAL_FORWARD_QUARANTINE_CHANGE_HPP

#include <string>

namespace chivedeal::forward {

/// A prompt part was blocked or released.
struct quarantine_change
{
    std::string part;
    bool blocked = false;
    /// Crashes that are attributed to the part.
    int crashes = 0;

    friend bool operator==(const quarantine_change&, const quarantine_change&) = default;
};

} // namespace chivedeal::forward

#endif
