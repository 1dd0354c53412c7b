#ifndef CHIVEDEAL_REQUESTS_ADDRESS_LIST_HPP
#define CHIVEDEAL_REQUESTS_ADDRESS_LIST_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/address_entry.hpp"

#include <vector>

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Returns the nodes that a caller in `region` should use, those of its region first. Nodes that
/// are leaving, dead or not ready are omitted. A suspected node gets a small weight, since it
/// may only be slow. The order is the same on every node; within a region, nodes of the
/// same status are sorted by ID.
///
///     list_addresses(view, region_id("eu-1"));
std::vector<address_entry> list_addresses(const membership::membership_view& view,
                                          const region_id& region);

} // namespace chivedeal::requests

#endif
