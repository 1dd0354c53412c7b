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
    const std::uint64_t endpoint_hash = hash_of(endpoint);
    holder& engine_holder = holder_of(touch(hash_of(prefix)), endpoint_hash);
    engine_holder.tokens = tokens;
    engine_holder.epoch = m_sources[endpoint_hash].epoch;
    engine_holder.confirmed_at = now;
    engine_holder.observed_at = now;
}

void cache_index::on_events(const cache_event_batch& batch, absl::Time now)
{
    const std::uint64_t endpoint_hash = hash_of(batch.endpoint);
    source& engine = m_sources[endpoint_hash];
    // If the next sequence number is below the expected one, the engine has restarted; if the
    // oldest retained one is above it, events were lost.
    if (batch.next < engine.next || batch.first > engine.next) {
        ++engine.epoch;
        engine.next = batch.first;
    }
    for (const cache_event& event : batch.events) {
        if (event.seq < engine.next)
            continue;
        if (event.seq > engine.next)
            ++engine.epoch;
        engine.next = event.seq + 1;
        holder& engine_holder = holder_of(touch(hash_of(event.prefix)), endpoint_hash);
        const bool still_valid = engine_holder.epoch == engine.epoch;
        if (still_valid && now - engine_holder.observed_at < m_options.event_lag)
            continue;
        engine_holder.tokens = event.cached ? event.tokens : 0;
        engine_holder.epoch = engine.epoch;
        engine_holder.confirmed_at = now;
    }
    if (batch.next > engine.next)
        ++engine.epoch;
    engine.next = batch.next;
}

void cache_index::erase(const endpoint_id& endpoint)
{
    // Holder entries of the endpoint stay until their prefix is evicted, but are invalid without a
    // source.
    m_sources.erase(hash_of(endpoint));
}

const std::vector<cache_index::holder>* cache_index::find(std::uint64_t prefix) const
{
    const auto existing = m_prefixes.find(prefix);
    return existing == m_prefixes.end() ? nullptr : &existing->second.holders;
}

bool cache_index::is_valid(const holder& value, absl::Time now) const
{
    const auto engine = m_sources.find(value.endpoint);
    return engine != m_sources.end() && engine->second.epoch == value.epoch &&
           now - value.confirmed_at < m_options.lifetime;
}

std::uint64_t cache_index::next_seq(const endpoint_id& endpoint) const
{
    const auto engine = m_sources.find(hash_of(endpoint));
    return engine == m_sources.end() ? 1 : engine->second.next;
}

cache_index::entry& cache_index::touch(std::uint64_t prefix)
{
    const auto existing = m_prefixes.find(prefix);
    if (existing != m_prefixes.end()) {
        m_lru_order.splice(m_lru_order.begin(), m_lru_order, existing->second.position);
        return existing->second;
    }
    if (m_prefixes.size() >= m_options.max_prefixes) {
        m_prefixes.erase(m_lru_order.back());
        m_lru_order.pop_back();
    }
    m_lru_order.push_front(prefix);
    entry& added = m_prefixes[prefix];
    added.position = m_lru_order.begin();
    return added;
}

cache_index::holder& cache_index::holder_of(entry& prefix_entry, std::uint64_t endpoint)
{
    for (holder& each : prefix_entry.holders)
        if (each.endpoint == endpoint)
            return each;
    const holder added{.endpoint = endpoint,
                       .tokens = 0,
                       .epoch = 0,
                       .confirmed_at = absl::InfinitePast(),
                       .observed_at = absl::InfinitePast()};
    if (prefix_entry.holders.size() < m_options.max_holders) {
        prefix_entry.holders.push_back(added);
        return prefix_entry.holders.back();
    }
    auto oldest = std::min_element(
        prefix_entry.holders.begin(), prefix_entry.holders.end(),
        [](const holder& a, const holder& b) { return a.confirmed_at < b.confirmed_at; });
    *oldest = added;
    return *oldest;
}

} // namespace chivedeal::requests
