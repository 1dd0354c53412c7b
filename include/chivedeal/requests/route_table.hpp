#ifndef CHIVEDEAL_REQUESTS_ROUTE_TABLE_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_TABLE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/endpoint_load.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::state {
struct cluster_state;
struct version_move;
} // namespace chivedeal::state

namespace chivedeal::membership {
struct endpoint;
struct membership_view;
} // namespace chivedeal::membership

namespace chivedeal::requests::detail {

/// Endpoints by service and version. Rebuilt when the state or the view changes, so that a routing
/// decision does not copy or filter endpoints.
class route_table
{
public:
    /// An endpoint that may be chosen.
    struct member
    {
        /// `cache_index::hash_of` the endpoint.
        std::uint64_t hash = 0;
        const membership::endpoint* info = nullptr;
        endpoint_load* load = nullptr;
    };

    /// The live endpoints of a version that isn't bad.
    struct group
    {
        version_id version;
        std::uint64_t hash = 0;
        /// Members in the node's own region come first.
        std::vector<member> members;
        std::size_t own_region_count = 0;
        /// Index in `members` by the endpoint's hash.
        absl::flat_hash_map<std::uint64_t, std::size_t> index_by_hash;
        /// Sums over the members, updated at intervals.
        double total_attempts = 0;
        double total_slots = 0;
        absl::Time totals_updated_at = absl::InfinitePast();
    };

    /// The groups of a service and the division of requests between them.
    struct service_entry
    {
        /// Groups that get all requests outside the trial share. More than one only when no current
        /// version is set or the preferred version has no endpoint.
        std::vector<group> regular;
        /// The version that an open move introduces; empty when no move is open.
        std::vector<group> trial;
        /// Share of requests routed to `trial`.
        double trial_share = 0;
        /// Whether `trial` may take all requests when `regular` has no endpoint.
        bool trial_proven = false;
    };

    route_table(const endpoint_load::options& tunables, region_id own_region);

    void rebuild(std::shared_ptr<const state::cluster_state> state,
                 std::shared_ptr<const membership::membership_view> view, absl::Time now);

    /// Returns null when the service is not declared.
    service_entry* find(const service_id& service);
    /// Return null when the endpoint is not listed.
    endpoint_load* find_load(const endpoint_id& endpoint);
    const membership::endpoint* find_endpoint(const endpoint_id& endpoint) const;

private:
    struct listed_endpoint
    {
        std::unique_ptr<endpoint_load> load;
        const membership::endpoint* info = nullptr;
        std::uint64_t hash = 0;
    };

    void update_endpoints(absl::Time now);
    bool is_bad(const service_id& service, const version_id& version) const;
    void add(const membership::endpoint& endpoint);
    void select_groups(const service_id& service, service_entry& entry) const;

    const endpoint_load::options& m_load_options;
    region_id m_own_region;
    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
    absl::flat_hash_map<endpoint_id, listed_endpoint> m_endpoints;
    absl::flat_hash_map<service_id, service_entry> m_services;
    bool m_has_view = false;
};

} // namespace chivedeal::requests::detail

#endif
