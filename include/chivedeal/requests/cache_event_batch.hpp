#ifndef CHIVEDEAL_REQUESTS_CACHE_EVENT_BATCH_HPP
#define CHIVEDEAL_REQUESTS_CACHE_EVENT_BATCH_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/cache_event.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::requests {

/// An engine's response to a poll of its cache events. The batches of an engine are delivered in
/// the order of the polls.
struct cache_event_batch
{
    endpoint_id endpoint;
    /// Oldest sequence number that the engine retains.
    std::uint64_t first = 1;
    /// Sequence number of the next event.
    std::uint64_t next = 1;
    std::vector<cache_event> events;

    friend bool operator==(const cache_event_batch&, const cache_event_batch&) = default;
};

} // namespace chivedeal::requests

#endif
