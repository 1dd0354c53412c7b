#ifndef CHIVEDEAL_CONTROL_CHANGE_PREFIX_HPP
#define CHIVEDEAL_CONTROL_CHANGE_PREFIX_HPP

#include "chivedeal/core/id.hpp"

#include <string>

namespace chivedeal::control {

/// Returns the node's name with a random part, so that a thread that starts again does not use a
/// change identifier twice; the log would ignore the second record.
std::string make_change_prefix(const node_id& node);

} // namespace chivedeal::control

#endif
