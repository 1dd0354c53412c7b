#include "chivedeal/regions/endpoint_gate.hpp"

#include "chivedeal/forward/endpoint_record.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::regions {

namespace {

// A record that arrives within this time after an event may have been written before it: a change
// reaches all nodes within 2.5 s.
constexpr absl::Duration max_record_delay = absl::Seconds(3);
// Limit for reported times, which are read from other processes.
constexpr absl::Duration max_cold_time = absl::Hours(1);
// How long an endpoint without a record is remembered, so that its return is noticed.
constexpr absl::Duration removed_endpoint_retention = absl::Minutes(30);

} // namespace

endpoint_gate::endpoint_gate(options settings)
    : m_options(std::move(settings)), m_random(m_options.seed)
{}

void endpoint_gate::set_cold_specs(std::map<service_id, cold_spec> specs, absl::Time now)
{
    m_cold_specs = std::move(specs);
    for (auto& [id, endpoint] : m_endpoints)
        update_share(endpoint, now);
    recompute_latest_cold_end();
}

void endpoint_gate::set_node_count(int nodes, absl::Time now)
{
    if (std::exchange(m_node_count, nodes) == nodes)
        return;
    for (auto& [id, endpoint] : m_endpoints)
        update_share(endpoint, now);
}

void endpoint_gate::set_evacuated_zones(std::set<zone_id> zones, absl::Time now)
{
    for (auto& [id, endpoint] : m_endpoints)
        if (m_evacuated_zones.contains(endpoint.zone) && !zones.contains(endpoint.zone))
            endpoint.assumed_cold_since = now;
    m_evacuated_zones = std::move(zones);
    recompute_latest_cold_end();
}

void endpoint_gate::on_record(const forward::endpoint_record& record, absl::Time now)
{
    const auto [found, is_new] = m_endpoints.try_emplace(record.id);
    tracked_endpoint& endpoint = found->second;
    const bool is_restarted =
        !is_new && (endpoint.started_at_unix_ms != record.started_at_unix_ms ||
                    endpoint.address != record.address);
    const bool has_returned = endpoint.removed_at != absl::InfiniteFuture();
    endpoint.service = record.service;
    endpoint.zone = record.zone;
    endpoint.address = record.address;
    endpoint.started_at_unix_ms = record.started_at_unix_ms;
    endpoint.removed_at = absl::InfiniteFuture();
    if (is_restarted || (is_new && m_loaded)) {
        // The record is as new as the incarnation, so it may say that the endpoint isn't cold.
        endpoint.is_unreachable = false;
        endpoint.reported_cold_until = absl::InfinitePast();
        endpoint.assumed_cold_since = record.remaining_warm_up ? absl::InfinitePast() : now;
    }
    else if (has_returned) {
        endpoint.assumed_cold_since = now;
    }
    if (record.remaining_warm_up)
        apply_report(endpoint, *record.remaining_warm_up, now);
    update_share(endpoint, now);
    extend_latest_cold_end(endpoint);
}

void endpoint_gate::on_removed(const endpoint_id& id, absl::Time now)
{
    absl::erase_if(m_endpoints, [now](const auto& entry) {
        return now - entry.second.removed_at > removed_endpoint_retention;
    });
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end())
        found->second.removed_at = now;
}

void endpoint_gate::on_unreachable(const endpoint_id& id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.is_unreachable = true;
    extend_latest_cold_end(found->second);
}

void endpoint_gate::on_answered(const endpoint_id& id, absl::Time now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || !std::exchange(found->second.is_unreachable, false))
        return;
    found->second.assumed_cold_since = now;
    extend_latest_cold_end(found->second);
}

void endpoint_gate::on_cold_reported(const endpoint_id& id, absl::Duration remaining,
                                     absl::Time now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.is_unreachable = false;
    found->second.assumed_cold_since = absl::InfinitePast();
    apply_report(found->second, remaining, now);
    extend_latest_cold_end(found->second);
}

void endpoint_gate::apply_report(tracked_endpoint& endpoint, absl::Duration remaining,
                                 absl::Time now) const
{
    endpoint.reported_cold_until = now + std::clamp(remaining, absl::ZeroDuration(), max_cold_time);
    if (now - endpoint.assumed_cold_since >= max_record_delay)
        endpoint.assumed_cold_since = absl::InfinitePast();
}

void endpoint_gate::update_share(tracked_endpoint& endpoint, absl::Time now)
{
    const auto spec = m_cold_specs.find(endpoint.service);
    if (spec != m_cold_specs.end())
        endpoint.limiter.set_share(
            compute_cold_share(spec->second, m_options.tolerance, m_node_count),
            std::uniform_real_distribution<double>(0, 1)(m_random), now);
}

gate_verdict endpoint_gate::check(const forward::endpoint_record& record, const home_regions& homes,
                                  absl::Time now) const
{
    if (homes.is_restricted()) {
        const auto region = m_options.zones.find(record.zone);
        if (region == m_options.zones.end() || !homes.allows(region->second))
            return gate_verdict::outside_home_regions;
    }
    if (m_evacuated_zones.contains(record.zone))
        return gate_verdict::zone_evacuated;
    if (now >= m_latest_cold_end)
        return gate_verdict::allowed;
    const auto found = m_endpoints.find(record.id);
    if (found == m_endpoints.end() || now >= cold_end(found->second) ||
        found->second.limiter.has_permit(now))
        return gate_verdict::allowed;
    return gate_verdict::no_cold_permit;
}

bool endpoint_gate::is_evacuated(const endpoint_id& id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && m_evacuated_zones.contains(found->second.zone);
}

int endpoint_gate::cold_count(absl::Time now) const
{
    return static_cast<int>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [this, now](const auto& entry) {
            return entry.second.removed_at == absl::InfiniteFuture() &&
                   now < cold_end(entry.second);
        }));
}

void endpoint_gate::on_sent(const endpoint_id& id, absl::Time now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end() && now < cold_end(found->second))
        found->second.limiter.spend(now);
}

absl::Time endpoint_gate::cold_end(const tracked_endpoint& endpoint) const
{
    const auto spec = m_cold_specs.find(endpoint.service);
    if (spec == m_cold_specs.end())
        return absl::InfinitePast();
    if (endpoint.is_unreachable)
        return absl::InfiniteFuture();
    return std::max(endpoint.reported_cold_until,
                    endpoint.assumed_cold_since + spec->second.cold_time);
}

void endpoint_gate::extend_latest_cold_end(const tracked_endpoint& endpoint)
{
    m_latest_cold_end = std::max(m_latest_cold_end, cold_end(endpoint));
}

void endpoint_gate::recompute_latest_cold_end()
{
    m_latest_cold_end = absl::InfinitePast();
    for (const auto& [id, endpoint] : m_endpoints)
        if (endpoint.removed_at == absl::InfiniteFuture())
            extend_latest_cold_end(endpoint);
}

} // namespace chivedeal::regions
