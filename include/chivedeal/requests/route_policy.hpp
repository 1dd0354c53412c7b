#ifndef CHIVEDEAL_REQUESTS_ROUTE_POLICY_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_POLICY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>

namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

struct cache_event_batch;
struct load_report;
struct route_choice;
struct route_query;

/// Chooses the endpoint of an attempt. Implementations read no clock and do no I/O.
class route_policy
{
public:
    virtual ~route_policy() = default;

    virtual void on_state(std::shared_ptr<const state::cluster_state> state) = 0;
    virtual void on_view(std::shared_ptr<const membership::membership_view> view,
                         absl::Time now) = 0;
    virtual void on_load(const load_report& report, absl::Time now) = 0;

    /// Fails with `unknown_service`, or with `no_endpoint` when no endpoint can take the request.
    virtual result<route_choice> choose(const route_query& query, absl::Time now) = 0;

    /// Called when an attempt at `endpoint` starts, and when it ends.
    virtual void on_attempt_started(const endpoint_id& endpoint, const route_query& query,
                                    absl::Time now) = 0;
    virtual void on_attempt_ended(const endpoint_id& endpoint, const route_query& query,
                                  bool failed, absl::Time now) = 0;

    /// Called when an endpoint reports how many prompt tokens were in its cache.
    virtual void on_cached(const endpoint_id& endpoint, const route_query& query,
                           std::uint64_t cached_tokens, absl::Time now) = 0;

    /// Called with an engine's cache events; policies that don't use them ignore them.
    virtual void on_cache_events(const cache_event_batch& /*batch*/, absl::Time /*now*/) {}
};

} // namespace chivedeal::requests

#endif
