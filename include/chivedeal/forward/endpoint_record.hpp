#ifndef CHIVEDEAL_FORWARD_ENDPOINT_RECORD_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_RECORD_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace chivedeal::forward {

/// What an endpoint says of itself in the store.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    chivedeal::address address;
    zone_id zone;
    version_id version;
    /// Requests that it runs at once.
    int slots = 1;
    bool leaving = false;
    /// How much longer it stays slow after its start.
    absl::Duration cold_left;
    /// Start of this incarnation, in milliseconds since 1970; 0 when it isn't said.
    std::int64_t born_ms = 0;
    /// The cloud may take it away.
    bool reclaimable = false;
    /// Time left when it is being reclaimed.
    std::optional<absl::Duration> leaves_in;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace chivedeal::forward

#endif
