#ifndef CHIVEDEAL_REQUESTS_RECLAIM_TARGET_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_TARGET_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::requests {

/// An endpoint that can take over streams.
struct reclaim_target
{
    endpoint_id id;
    region_id region;
    zone_id zone;
    service_id service;
    version_id version;
    int free_slots = 0;
    double free_kv_bytes = 0;
    /// Shared by all imports of the endpoint.
    double import_bytes_per_second = 1e9;
    double prefill_tokens_per_second = 8000;

    friend bool operator==(const reclaim_target&, const reclaim_target&) = default;
};

} // namespace chivedeal::requests

#endif
