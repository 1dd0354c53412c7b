#ifndef CHIVEDEAL_FORWARD_BEACON_BUNDLE_HPP
#define CHIVEDEAL_FORWARD_BEACON_BUNDLE_HPP

#include "chivedeal/forward/node_beacon.hpp"

#include <vector>

namespace chivedeal::forward {

/// Beacons of nodes of other regions that a node passes on in its own.
struct beacon_bundle
{
    std::vector<node_beacon> beacons;

    friend bool operator==(const beacon_bundle&, const beacon_bundle&) = default;
};

} // namespace chivedeal::forward

#endif
