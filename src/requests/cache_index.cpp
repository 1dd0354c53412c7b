#include "chivedeal/requests/cache_index.hpp"

#include "chivedeal/requests/cache_event_batch.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chivedeal::requests {

cache_index::cache_index() : cache_index(options{}) {}

cache_index::cache_index(options tunables) : m_options(tunables) {}

std::uint64_t cache_index::hash_of(const endpoint_id& endpoint)
{
    return XXH3_64bits(endpoint.str().data(), endpoint.str().size());
}

std::uint64_t cache_index::hash_of(absl::string_view prefix)
{
    return XXH3_64bits(prefix.data(), prefix.size());
}

void cache_index::on_observed(const endpoint_id& endpoint, absl::string_view prefix,
                              std::uint64_t tokens, absl::Time now)
{
    const std::uint64_t id = hash_of(endpoint);
    holder& known = holder_of(touch(hash_of(prefix)), id);
    known.tokens = tokens;
    known.epoch = m_sources[id].epoch;
    known.confirmed = now;
    known.observed = now;
}

void cache_index::on_events(const cache_event_batch& batch, absl::Time now)
{
    const std::uint64_t id = hash_of(batch.endpoint);
    source& from = m_sources[id];
    // A lower number than before means that the engine started anew.
    if (batch.next < from.next || batch.first > from.next) {
        ++from.epoch;
        from.next = batch.first;
    }
    for (const cache_event& event : batch.events) {
        if (event.seq < from.next)
            continue;
        if (event.seq > from.next)
            ++from.epoch;
        from.next = event.seq + 1;
        holder& known = holder_of(touch(hash_of(event.prefix)), id);
        const bool still_valid = known.epoch == from.epoch;
        if (still_valid && now - known.observed < m_options.event_lag)
            continue;
        known.tokens = event.cached ? event.tokens : 0;
        known.epoch = from.epoch;
        known.confirmed = now;
    }
    if (batch.next > from.next)
        ++from.epoch;
    from.next = batch.next;
}

void cache_index::erase(const endpoint_id& endpoint)
{
    // Holders of the endpoint stay until their prefix is evicted; without a source they are
    // invalid.
    m_sources.erase(hash_of(endpoint));
}

const std::vector<cache_index::holder>* cache_index::find(std::uint64_t prefix) const
{
    const auto found = m_prefixes.find(prefix);
    return found == m_prefixes.end() ? nullptr : &found->second.holders;
}

bool cache_index::is_valid(const holder& value, absl::Time now) const
{
    const auto found = m_sources.find(value.endpoint);
    return found != m_sources.end() && found->second.epoch == value.epoch &&
           now - value.confirmed < m_options.lifetime;
}

std::uint64_t cache_index::next_seq(const endpoint_id& endpoint) const
{
    const auto found = m_sources.find(hash_of(endpoint));
    return found == m_sources.end() ? 1 : found->second.next;
}

cache_index::entry& cache_index::touch(std::uint64_t prefix)
{
    const auto found = m_prefixes.find(prefix);
    if (found != m_prefixes.end()) {
        m_order.splice(m_order.begin(), m_order, found->second.position);
        return found->second;
    }
    if (m_prefixes.size() >= m_options.max_prefixes) {
        m_prefixes.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(prefix);
    entry& added = m_prefixes[prefix];
    added.position = m_order.begin();
    return added;
}

cache_index::holder& cache_index::holder_of(entry& known, std::uint64_t endpoint)
{
    for (holder& each : known.holders)
        if (each.endpoint == endpoint)
            return each;
    const holder unknown{.endpoint = endpoint,
                         .tokens = 0,
                         .epoch = 0,
                         .confirmed = absl::InfinitePast(),
                         .observed = absl::InfinitePast()};
    if (known.holders.size() < m_options.max_holders) {
        known.holders.push_back(unknown);
        return known.holders.back();
    }
    auto oldest = std::min_element(
        known.holders.begin(), known.holders.end(),
        [](const holder& a, const holder& b) { return a.confirmed < b.confirmed; });
    *oldest = unknown;
    return *oldest;
}

} // namespace chivedeal::requests
