#ifndef CHIVEDEAL_REGIONS_COLD_SHARE_HPP
#define CHIVEDEAL_REGIONS_COLD_SHARE_HPP

#include "chivedeal/regions/cold_spec.hpp"
#include "chivedeal/regions/cold_tolerance.hpp"

#include "absl/time/time.h"

namespace chivedeal::regions {

/// One node's share of the requests to a cold endpoint: a permit each `period`, valid for
/// `lifetime`.
struct cold_share
{
    absl::Duration period = absl::InfiniteDuration();
    absl::Duration lifetime;

    friend bool operator==(const cold_share&, const cold_share&) = default;
};

/// Returns the share of each of `nodes` nodes, such that their permits stay within the tolerance
/// although the nodes don't coordinate their phases.
cold_share compute_cold_share(const cold_spec& spec, const cold_tolerance& tolerance, int nodes);

} // namespace chivedeal::regions

#endif
