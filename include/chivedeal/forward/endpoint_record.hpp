#ifndef CHIVEDEAL_FORWARD_ENDPOINT_RECORD_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_RECORD_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace chivedeal::forward {

/// The record that an endpoint publishes about itself in the store.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    chivedeal::address address;
    zone_id zone;
    version_id version;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    bool leaving = false;
    /// Remaining time for which it is cold. Absent if the record doesn't say.
    std::optional<absl::Duration> remaining_warm_up;
    /// Start time of this incarnation in milliseconds since the Unix epoch; 0 if unknown.
    std::int64_t started_at_unix_ms = 0;
    /// Whether the cloud provider may reclaim it.
    bool reclaimable = false;
    /// Time until it is reclaimed, if the provider has announced that.
    std::optional<absl::Duration> reclaimed_in;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace chivedeal::forward

#endif
