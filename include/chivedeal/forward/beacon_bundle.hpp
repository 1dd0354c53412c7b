#ifndef CHIVEDEAL_FORWARD_BEACON_BUNDLE_HPP
#define CHIVEDEAL_FORWARD_BEACON_BUNDLE_HPP

#include "chivedeal/forward/node_beacon.hpp"

#include <vector>

namespace chivedeal::forward {

/// Beacons from other regions that a node relays to the nodes of its own region.
struct beacon_bundle
{
    std::vector<node_beacon> beacons;

    friend bool operator==(const beacon_bundle&, const beacon_bundle&) = default;
};

} // namespace chivedeal::forward

#endif
