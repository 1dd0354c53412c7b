#include "chivedeal/control/change_prefix.hpp"

#include "chivedeal/core/random_id.hpp"

namespace chivedeal::control {

std::string make_change_prefix(const node_id& node) { return node.str() + "-" + random_id(); }

} // namespace chivedeal::control
