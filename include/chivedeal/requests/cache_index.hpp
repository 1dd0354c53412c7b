#ifndef CHIVEDEAL_REQUESTS_CACHE_INDEX_HPP
#define CHIVEDEAL_REQUESTS_CACHE_INDEX_HPP

#include "chivedeal/core/id.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace chivedeal::requests {

struct cache_event_batch;

/// Prompt prefixes in the engines' caches, according to this node's requests and cache events.
///
/// A gap in an engine's sequence numbers may hide evictions, so it invalidates all entries of that
/// engine. Memory is bounded; the least recently used prefix is evicted first.
class cache_index
{
public:
    struct options
    {
        /// Each takes about 250 bytes.
        std::size_t max_prefixes = 16'384;
        /// Holders stored per prefix.
        std::size_t max_holders = 8;
        /// Assumed delay of events; an event does not override a more recent observation.
        absl::Duration event_lag = absl::Seconds(5);
        /// Holders not confirmed for longer than this are ignored.
        absl::Duration lifetime = absl::Minutes(10);
    };

    /// An endpoint that may cache a prefix; `tokens` is 0 when the prefix is known to be absent.
    struct holder
    {
        /// `hash_of` the endpoint.
        std::uint64_t endpoint = 0;
        std::uint64_t tokens = 0;
        /// The endpoint's gap counter at the time of the last update.
        std::uint32_t epoch = 0;
        absl::Time confirmed_at;
        /// Time of the last observation by this node's requests; infinite past if there is none.
        absl::Time observed_at;

        friend bool operator==(const holder&, const holder&) = default;
    };

    cache_index();
    explicit cache_index(options tunables);

    static std::uint64_t hash_of(const endpoint_id& endpoint);
    static std::uint64_t hash_of(absl::string_view prefix);

    /// Records that a request of this node left `tokens` of the prefix in the endpoint's cache.
    void on_observed(const endpoint_id& endpoint, absl::string_view prefix, std::uint64_t tokens,
                     absl::Time now);
    void on_events(const cache_event_batch& batch, absl::Time now);

    /// Removes an endpoint that is no longer listed.
    void erase(const endpoint_id& endpoint);

    /// Returns the holders of a prefix, valid or not (see `is_valid`), or null if there are none.
    const std::vector<holder>* find(std::uint64_t prefix) const;
    bool is_valid(const holder& value, absl::Time now) const;

    /// Returns the sequence number of the next event to poll from an engine.
    std::uint64_t next_seq(const endpoint_id& endpoint) const;

    std::size_t size() const { return m_prefixes.size(); }

private:
    struct entry
    {
        std::vector<holder> holders;
        std::list<std::uint64_t>::iterator position;
    };
    struct source
    {
        /// Engines number their events from 1.
        std::uint64_t next = 1;
        std::uint32_t epoch = 0;
    };

    entry& touch(std::uint64_t prefix);
    holder& holder_of(entry& prefix_entry, std::uint64_t endpoint);

    options m_options;
    absl::flat_hash_map<std::uint64_t, entry> m_prefixes;
    /// Most recently used first.
    std::list<std::uint64_t> m_lru_order;
    absl::flat_hash_map<std::uint64_t, source> m_sources;
};

} // namespace chivedeal::requests

#endif
