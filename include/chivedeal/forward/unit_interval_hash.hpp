#ifndef CHIVEDEAL_FORWARD_UNIT_INTERVAL_HASH_HPP
#define CHIVEDEAL_FORWARD_UNIT_INTERVAL_HASH_HPP

#include <string>

namespace chivedeal::forward {

/// Returns a value in [0, 1) that depends on the text only, not on the process or the machine.
double hash_to_unit_interval(const std::string& text);

} // namespace chivedeal::forward

#endif
