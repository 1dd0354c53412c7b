#include "chivedeal/requests/route_table.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/cache_index.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

std::uint64_t hash_of_version(const service_id& service, const version_id& version)
{
    const std::string key = absl::StrCat(service.str(), "\n", version.str());
    return XXH3_64bits(key.data(), key.size());
}

const state::version_move* open_move(const state::cluster_state& state, const service_id& service)
{
    const auto move = state.moves.find(service);
    if (move == state.moves.end() || move->second->status != state::move_status::open)
        return nullptr;
    return move->second.get();
}

// Returns the version that gets the regular traffic; empty when none is set.
version_id preferred_version(const state::cluster_state& state, const service_id& service)
{
    const auto move = state.moves.find(service);
    if (move != state.moves.end() && move->second->status == state::move_status::open)
        return move->second->from;
    const auto current = state.current_versions.find(service);
    if (current != state.current_versions.end())
        return current->second;
    if (move == state.moves.end())
        return {};
    return move->second->status == state::move_status::done ? move->second->to : move->second->from;
}

std::size_t count_members(const std::vector<route_table::group>& groups)
{
    std::size_t count = 0;
    for (const route_table::group& each : groups)
        count += each.members.size();
    return count;
}

// Keeps only as many endpoints as give each the load of an endpoint of the old version, so that the
// trial shows how the version behaves under load. All nodes keep the same endpoints.
void keep_trial_subset(route_table::group& trial, double share, std::size_t regular_count)
{
    const auto wanted_count =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(regular_count)));
    const std::size_t kept_count = std::clamp<std::size_t>(wanted_count, 1, trial.members.size());
    const auto score = [&](const route_table::member& each) {
        return XXH3_64bits_withSeed(&each.hash, sizeof each.hash, trial.hash);
    };
    std::sort(trial.members.begin(), trial.members.end(),
              [&](const auto& a, const auto& b) { return score(a) > score(b); });
    trial.members.resize(kept_count);
}

} // namespace

route_table::route_table(const endpoint_load::options& tunables, region_id own_region)
    : m_load_options(tunables), m_own_region(std::move(own_region))
{}

void route_table::rebuild(std::shared_ptr<const state::cluster_state> state,
                          std::shared_ptr<const membership::membership_view> view, absl::Time now)
{
    m_services.clear();
    m_state = std::move(state);
    m_view = std::move(view);
    update_endpoints(now);
    if (!m_state)
        return;
    for (const auto& [name, declared] : m_state->services)
        m_services.try_emplace(name);
    if (m_view)
        for (const membership::endpoint& endpoint : m_view->endpoints)
            add(endpoint);
    for (auto& [name, entry] : m_services)
        select_groups(name, entry);
}

route_table::service_entry* route_table::find(const service_id& service)
{
    const auto entry = m_services.find(service);
    return entry == m_services.end() ? nullptr : &entry->second;
}

endpoint_load* route_table::find_load(const endpoint_id& endpoint)
{
    const auto entry = m_endpoints.find(endpoint);
    return entry == m_endpoints.end() ? nullptr : entry->second.load.get();
}

const membership::endpoint* route_table::find_endpoint(const endpoint_id& endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    return entry == m_endpoints.end() ? nullptr : entry->second.info;
}

void route_table::update_endpoints(absl::Time now)
{
    if (!m_view)
        return;
    // Endpoints in the first view may have been running for a long time; only those added later are
    // treated as new.
    const absl::Time first_seen = m_has_view ? now : absl::InfinitePast();
    m_has_view = true;
    for (auto& [id, each] : m_endpoints)
        each.info = nullptr;
    for (const membership::endpoint& endpoint : m_view->endpoints) {
        listed_endpoint& each = m_endpoints[endpoint.id];
        if (!each.load) {
            each.load = std::make_unique<endpoint_load>(m_load_options, first_seen);
            each.hash = cache_index::hash_of(endpoint.id);
        }
        each.info = &endpoint;
    }
    absl::erase_if(m_endpoints, [](const auto& entry) {
        return entry.second.info == nullptr && entry.second.load->outstanding() == 0;
    });
}

bool route_table::is_bad(const service_id& service, const version_id& version) const
{
    const state::cluster_state::version_key key(service, version);
    const auto declared = m_state->versions.find(key);
    const std::uint64_t offset =
        declared == m_state->versions.end() ? 0 : declared->second->declared_offset;
    const auto move = m_state->moves.find(service);
    if (move != m_state->moves.end() && move->second->to == version &&
        move->second->status == state::move_status::rolled_back)
        return true;
    const auto verdict = m_state->bad_versions.find(key);
    if (verdict != m_state->bad_versions.end() && verdict->second >= offset)
        return true;
    return std::any_of(m_view->bad_versions.begin(), m_view->bad_versions.end(),
                       [&](const membership::version_bad& fact) {
                           return fact.service == service && fact.version == version &&
                                  fact.declared_offset >= offset;
                       });
}

void route_table::add(const membership::endpoint& endpoint)
{
    const auto service = m_services.find(endpoint.service);
    if (service == m_services.end())
        return;
    if (endpoint.status == membership::endpoint_status::leaving &&
        is_enabled(mechanism::leaving_facts))
        return;
    const state::version_move* move = open_move(*m_state, endpoint.service);
    const bool in_trial = move != nullptr && move->to == endpoint.version;
    std::vector<group>& groups = in_trial ? service->second.trial : service->second.regular;
    auto target_group = std::find_if(groups.begin(), groups.end(), [&](const group& each) {
        return each.version == endpoint.version;
    });
    if (target_group == groups.end()) {
        group added;
        added.version = endpoint.version;
        added.hash = hash_of_version(endpoint.service, endpoint.version);
        groups.push_back(std::move(added));
        target_group = groups.end() - 1;
    }
    listed_endpoint& each = m_endpoints.at(endpoint.id);
    target_group->members.push_back(
        {.hash = each.hash, .info = &endpoint, .load = each.load.get()});
}

void route_table::select_groups(const service_id& service, service_entry& entry) const
{
    if (!m_view)
        return;
    const auto bad = [&](const group& each) { return is_bad(service, each.version); };
    std::erase_if(entry.regular, bad);
    std::erase_if(entry.trial, bad);
    const state::version_move* move = open_move(*m_state, service);
    const version_id preferred = preferred_version(*m_state, service);
    if (!entry.trial.empty()) {
        entry.trial_share = std::clamp(move->share, 0.0, 1.0);
        entry.trial_proven = move->share > move->max_unproven_share;
    }
    // Other versions get traffic only when the preferred version has no endpoint.
    const auto preferred_group =
        std::find_if(entry.regular.begin(), entry.regular.end(),
                     [&](const group& each) { return each.version == preferred; });
    if (preferred_group != entry.regular.end()) {
        group kept = std::move(*preferred_group);
        entry.regular.clear();
        entry.regular.push_back(std::move(kept));
    }
    if (!entry.trial.empty() && !entry.trial_proven)
        keep_trial_subset(entry.trial.front(), move->share, count_members(entry.regular));
    for (std::vector<group>* groups : {&entry.regular, &entry.trial})
        for (group& each : *groups) {
            const auto first_remote = std::stable_partition(
                each.members.begin(), each.members.end(),
                [&](const member& value) { return value.info->region == m_own_region; });
            each.own_region_count = static_cast<std::size_t>(first_remote - each.members.begin());
            for (std::size_t i = 0; i < each.members.size(); ++i)
                each.index_by_hash[each.members[i].hash] = i;
        }
}

} // namespace chivedeal::requests::detail
