#ifndef CHIVEDEAL_REQUESTS_ADDRESS_LIST_HPP
#define CHIVEDEAL_REQUESTS_ADDRESS_LIST_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/address_entry.hpp"

#include <vector>

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Returns the nodes that a caller in `region` should use, those of its region first. Leaving, dead
/// and not ready nodes are left out; a suspected node comes with a small weight, since it may only
/// be slow. The order within a region follows the node IDs, the same on every node.
///
///     list_addresses(view, region_id("eu-1"));
std::vector<address_entry> list_addresses(const membership::membership_view& view,
                                          const region_id& region);

} // namespace chivedeal::requests

#endif
