#ifndef CHIVEDEAL_REQUESTS_AFFINITY_POLICY_HPP
#define CHIVEDEAL_REQUESTS_AFFINITY_POLICY_HPP

#include "chivedeal/requests/cache_index.hpp"
#include "chivedeal/requests/endpoint_load.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/requests/route_table.hpp"
#include "chivedeal/requests/zone_health.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <memory>

namespace chivedeal::requests {

/// Chooses among the endpoints with the lowest cost: predicted time to first token, tokens to
/// recompute and network distance, all in milliseconds.
///
/// Requests with the same prefix go to the endpoint that rendezvous hashing selects, unless its
/// load exceeds a limit or another endpoint has a better score.
///
///     affinity_policy policy({.own_region = region, .own_zone = zone});
class affinity_policy : public route_policy
{
public:
    struct options
    {
        region_id own_region;
        zone_id own_zone;
        /// Prompt tokens that an engine computes per second.
        double prefill_tokens_per_second = 8000;
        /// Length of a typical answer in tokens. Divided by the engine's token rate, it gives the
        /// time until a slot is free.
        double typical_answer_tokens = 300;
        /// Assumed time that a request occupies a slot when the engine's token rate is not known.
        double default_service_ms = 3000;
        /// Delay that each request in an engine's batch adds to the first token of a new request.
        double batch_delay_ms = 6;
        /// Cost of recomputing 1,000 tokens, in addition to the time that it takes.
        double recompute_ms_per_kilotoken = 60;
        /// Round-trip times to another region and to another zone of the same region.
        double region_round_trip_ms = 24;
        double zone_round_trip_ms = 2;
        /// Cost of sending 1,000 bytes to another region.
        double cross_region_ms_per_kilobyte = 2;
        double bytes_per_token = 4;
        /// Share of a prompt assumed to be cached at its rendezvous endpoint when the cache index
        /// has no valid entry for it.
        double assumed_cached_share = 0.2;
        /// The rendezvous endpoint is skipped when its load exceeds this multiple of the mean.
        double max_load_over_mean = 1.5;
        /// Candidates whose scores are within this distance of the best are treated as equal.
        double score_tolerance_ms = 15;
        /// Time after which a new endpoint gets its full share.
        absl::Duration ramp_duration = absl::Seconds(30);
        /// Added to the score for a zone where all attempts fail, and for each recent failure of an
        /// endpoint.
        double zone_failure_penalty_ms = 2000;
        double endpoint_failure_penalty_ms = 300;
        /// Added to the score on a retry for the zones where earlier attempts failed.
        double retry_zone_penalty_ms = 200;
        detail::endpoint_load::options load = {};
        cache_index::options cache = {};
        zone_health::options zones = {};
    };

    explicit affinity_policy(options tunables);
    affinity_policy(const affinity_policy&) = delete;
    affinity_policy& operator=(const affinity_policy&) = delete;
    ~affinity_policy() override;

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
    void on_cache_events(const cache_event_batch& batch, absl::Time now) override;

    /// Returns the sequence number of the next cache event to poll from an engine.
    std::uint64_t next_cache_event(const endpoint_id& endpoint) const;

private:
    class decision;

    /// An attempt in progress.
    struct attempt
    {
        endpoint_id endpoint;
        /// Prompt tokens that the engine is expected to compute; 0 when the prefill is done.
        double prefill_tokens = 0;
    };

    double expected_cached(const endpoint_id& endpoint, const route_query& query,
                           absl::Time now) const;

    options m_options;
    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
    detail::route_table m_table;
    cache_index m_cache;
    zone_health m_zones;
    absl::flat_hash_map<request_id, attempt> m_attempts;
    absl::Time m_now = absl::InfinitePast();
};

} // namespace chivedeal::requests

#endif
