#ifndef CHIVEDEAL_MEMBERSHIP_ENDPOINT_HPP
#define CHIVEDEAL_MEMBERSHIP_ENDPOINT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/state/service.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::membership {

enum class endpoint_status
{
    live,
    leaving,
};

/// A back end on an instance, as the instance list and the facts about it say.
struct endpoint
{
    endpoint_id id;
    address listen;
    region_id region;
    zone_id zone;
    std::string machine_class;
    bool reclaimable = true;
    state::service_kind kind = state::service_kind::engine;
    service_id service;
    version_id version;
    endpoint_status status = endpoint_status::live;
    /// Monotonic time at which a leaving instance is reclaimed; infinite when not known.
    absl::Time reclaim_at = absl::InfiniteFuture();

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

} // namespace chivedeal::membership

#endif
