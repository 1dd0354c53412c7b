#ifndef CHIVEDEAL_CONTROL_CHANGE_PREFIX_HPP
#define CHIVEDEAL_CONTROL_CHANGE_PREFIX_HPP

#include "chivedeal/core/id.hpp"

#include <string>

namespace chivedeal::control {

/// Returns the name of the node followed by a random suffix. The suffix keeps a restarted thread
/// from reusing a change identifier; the log ignores a record whose identifier it has already seen.
std::string make_change_prefix(const node_id& node);

} // namespace chivedeal::control

#endif
