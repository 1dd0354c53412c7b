#ifndef CHIVEDEAL_REQUESTS_ROUND_ROBIN_POLICY_HPP
#define CHIVEDEAL_REQUESTS_ROUND_ROBIN_POLICY_HPP

#include "chivedeal/requests/route_policy.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstddef>

namespace chivedeal::requests {

/// Chooses the live endpoints of a service in turn. Used as a baseline.
class round_robin_policy : public route_policy
{
public:
    void on_state(std::shared_ptr<const state::cluster_state> state) override;
    void on_view(std::shared_ptr<const membership::membership_view> view, absl::Time now) override;
    void on_load(const load_report& report, absl::Time now) override;
    result<route_choice> choose(const route_query& query, absl::Time now) override;
    void on_attempt_started(const endpoint_id& endpoint, const route_query& query,
                            absl::Time now) override;
    void on_attempt_ended(const endpoint_id& endpoint, const route_query& query, bool failed,
                          absl::Time now) override;
    void on_cached(const endpoint_id& endpoint, const route_query& query,
                   std::uint64_t cached_tokens, absl::Time now) override;

private:
    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
    absl::flat_hash_map<service_id, std::size_t> m_next;
};

} // namespace chivedeal::requests

#endif
