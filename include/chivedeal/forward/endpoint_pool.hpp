#ifndef CHIVEDEAL_FORWARD_ENDPOINT_POOL_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_POOL_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"
#include "chivedeal/endpoints/endpoint_estimator.hpp"
#include "chivedeal/forward/endpoint_choice.hpp"
#include "chivedeal/forward/endpoint_health.hpp"
#include "chivedeal/forward/endpoint_load.hpp"
#include "chivedeal/forward/endpoint_query.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/prompt_notice.hpp"
#include "chivedeal/forward/version_split.hpp"
#include "chivedeal/regions/endpoint_gate.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// Tracks the load and health of all known endpoints and chooses one for each attempt.
///
/// The endpoint with the lowest predicted time to the first byte is chosen, with many peers the
/// better one of two or three random endpoints: nodes that choose by the same reports would
/// otherwise all choose the same one. The prediction adds up the time to read the prompts that all
/// nodes have sent there, the
/// estimate of `endpoint_estimator` for this request, the link latency, and penalties for recent
/// failures and for a load beyond the concurrency limit. By rendezvous hashing, all nodes send
/// prompts with the same shared part to the same endpoint without exchanging messages.
class endpoint_pool
{
public:
    struct options
    {
        node_id self;
        region_id region;
        std::map<zone_id, region_id> zones;
        regions::cold_tolerance cold;
        std::uint64_t seed = 1;
    };

    explicit endpoint_pool(options settings)
        : m_options(std::move(settings)),
          m_gate({.zones = m_options.zones, .tolerance = m_options.cold, .seed = m_options.seed})
    {}

    /// Decides which endpoints may get a request at all.
    regions::endpoint_gate& gate() { return m_gate; }

    /// Adds or updates an endpoint. If its start time or address changed, it has restarted: its
    /// cache and health are reset.
    void update(const endpoint_record& record);

    void remove(const endpoint_id& id);
    /// The endpoint gets no requests from `due` on, unless it is updated before.
    void schedule_removal(const endpoint_id& id, absl::Time due);

    /// An endpoint announced that it is leaving. It gets no further requests until it restarts,
    /// whatever its record says. Returns whether that is news.
    bool on_announced_leaving(const endpoint_choice& endpoint, absl::Time now);
    /// An endpoint asked for no requests of this node until `retry_at`, unless it restarts before.
    void on_retry_after(const endpoint_choice& endpoint, absl::Time retry_at, absl::Time now);
    /// Returns the earliest time at which an endpoint that the request may use wants requests again,
    /// if all of them that aren't leaving asked for none.
    std::optional<absl::Time> retry_time(const endpoint_query& query, absl::Time now) const;

    /// Splits a service's requests between one version and the stable ones. A version with share 0
    /// gets no requests at all. Otherwise, if one side has no endpoint that can serve a request, the
    /// other gets it.
    void set_version_share(const service_id& service, const version_id& version, double share)
    {
        set_version_split(service, version_split{.version = version, .share = share});
    }
    /// No split ends the division.
    void set_version_split(const service_id& service, std::optional<version_split> split);

    /// Chooses an endpoint. `random` is uniform in [0, 1). It selects the side of a version split
    /// and the endpoints between which the choice is made.
    /// Errors: `unknown_service` if the service has no endpoint, `no_endpoint` if none is eligible,
    /// `shed` if the best one is full.
    result<endpoint_choice> choose(const endpoint_query& query, double random,
                                   absl::Time now) const;

    /// `prefill_cost_tokens` is `endpoint_choice::prefill_cost_tokens`.
    void on_sent(const endpoint_id& id, std::int64_t prefill_cost_tokens, absl::Time now);
    /// The response started, which means that the prompt has been read. `lateness` is the delay
    /// beyond the predicted time.
    void on_first_byte(const endpoint_id& id, const endpoint_query& query, absl::Duration lateness,
                       absl::Time now);
    /// A response that isn't an error started `elapsed` after the endpoint was chosen.
    void on_response_time(const endpoint_choice& endpoint, absl::Duration elapsed, absl::Time now);
    /// A request was given up `elapsed` after the endpoint was chosen, before its response started.
    void on_no_response(const endpoint_choice& endpoint, absl::Duration elapsed, absl::Time now);
    /// A response carried the endpoint's load.
    void on_load_reading(const endpoint_id& id, const endpoints::load_reading& reading,
                         absl::Time now);
    /// Data of a response arrived.
    void on_bytes(const endpoint_id& id, absl::Time now);
    /// `answered` tells whether the response had started.
    void on_request_ended(const endpoint_id& id, bool answered);

    void on_success(const endpoint_id& id, absl::Time now);
    /// The endpoint failed a request that it had accepted.
    void on_failure(const endpoint_id& id, absl::Time now);
    /// The endpoint did not answer in time. This is not reported to peers: under load, many
    /// endpoints are late, and pausing them would shift their requests to the remaining ones.
    void on_timeout(const endpoint_id& id, absl::Time now);
    /// The endpoint is unreachable, or another one uses its address.
    void on_unreachable(const endpoint_id& id, absl::Time now);
    /// The endpoint refused a request because it is full.
    void on_refused(const endpoint_id& id, absl::Time now);

    /// Applies a peer's load report: replaces its requests in progress, and adds the prompts that
    /// it sent and the outcomes that it saw since its last report.
    void set_peer_load(const node_id& peer, const std::vector<endpoint_load>& loads,
                       absl::Time now);
    /// A peer sent a long prompt to an endpoint. The peer's next report includes that prompt.
    void on_peer_prompt(const prompt_notice& notice, absl::Time now);
    void forget_peer(const node_id& peer);

    /// Returns notices for the peers about the long prompts sent since the last call.
    std::vector<prompt_notice> take_notices() { return std::exchange(m_notices, {}); }

    /// Returns this node's load report for its peers. Endpoints without requests in progress or
    /// recent use are left out.
    std::vector<endpoint_load> own_load(absl::Time now) const;

    /// Number of endpoints that slow down before all their slots are in use.
    int slowed_endpoints(absl::Time now) const;

private:
    struct endpoint_state
    {
        endpoint_record record;
        bool is_in_own_region = true;
        bool announced_leaving = false;
        absl::Time retry_at = absl::InfinitePast();
        absl::Time removal_due = absl::InfiniteFuture();
        int peer_requests = 0;
        std::int64_t own_sent_tokens = 0;
        std::int64_t own_answered = 0;
        std::int64_t own_failed = 0;
        absl::Time last_used = absl::InfinitePast();
        // Expected time at which the endpoint has read all prompts sent to it.
        absl::Time prefill_done_at = absl::InfinitePast();
        endpoint_health health;
        endpoints::endpoint_estimator estimator;
        // When this node's requests last put each prompt part into the endpoint's cache, by the hash
        // of the part's name.
        absl::flat_hash_map<std::uint64_t, absl::Time> cached_parts;
    };

    using loads_by_endpoint = std::map<endpoint_id, endpoint_load>;

    /// What an incarnation of an endpoint asked for, kept beyond the removal of its record.
    struct endpoint_demand
    {
        address endpoint_address;
        std::int64_t started_at_unix_ms = 0;
        bool announced_leaving = false;
        absl::Time retry_at = absl::InfinitePast();
        absl::Time updated_at;
    };

    // Part that an endpoint's version has in a split; without one, all versions are stable.
    enum class version_group
    {
        target,
        stable,
        // Versions of earlier roll-outs that weren't completed.
        abandoned,
    };

    // Endpoints that a request may use, by how their health allows it.
    struct candidate_list
    {
        std::vector<const endpoint_state*> usable;
        std::vector<const endpoint_state*> paused;
        std::vector<const endpoint_state*> failing;
    };

    endpoint_demand& demand_of(const endpoint_choice& endpoint, absl::Time now);
    void apply_demand(endpoint_state& endpoint) const;
    static bool is_leaving(const endpoint_state& endpoint, absl::Time now);
    static version_group group_of(const endpoint_state& endpoint, const version_split* split);
    // The groups that a request may use, the preferred one first.
    static std::vector<version_group> groups_for(const version_split* split, double random,
                                                 const std::array<bool, 3>& can_serve);
    std::int64_t cached_tokens(const endpoint_state& endpoint, const endpoint_query& query,
                               bool is_rendezvous_endpoint, absl::Time now) const;
    double predict_ms(const endpoint_state& endpoint, const endpoint_query& query,
                      std::int64_t cached_prompt_tokens, absl::Time now) const;
    // Requests at the endpoint that this node knows of.
    static int known_requests(const endpoint_state& endpoint);
    // The same, corrected by what the endpoint reported itself.
    static int requests_in_flight(const endpoint_state& endpoint, absl::Time now);
    static bool is_full(const endpoint_state& endpoint, int requests, absl::Time now);
    endpoint_state* find(const endpoint_id& id);
    std::shared_ptr<endpoints::service_model> service_model(const service_id& service);
    static void add_prefill(endpoint_state& endpoint, std::int64_t tokens, absl::Time now);
    std::vector<const endpoint_state*> eligible_endpoints(const endpoint_query& query,
                                                          double random, absl::Time now) const;
    result_code refusal_code(const endpoint_query& query, absl::Time now) const;
    static bool is_in_own_region(const endpoint_state& endpoint);
    // Adds a peer's requests in progress and silence reports if `sign` is 1, and subtracts them if
    // it is -1.
    void add_peer_load(const loads_by_endpoint& loads, int sign);

    options m_options;
    regions::endpoint_gate m_gate;
    absl::flat_hash_map<endpoint_id, endpoint_state> m_endpoints;
    absl::flat_hash_map<endpoint_id, endpoint_demand> m_demands;
    std::map<service_id, std::vector<endpoint_id>> m_ids_by_service;
    std::map<service_id, std::shared_ptr<endpoints::service_model>> m_service_models;
    std::map<service_id, version_split> m_version_splits;
    std::map<node_id, loads_by_endpoint> m_peer_loads;
    std::vector<prompt_notice> m_notices;
};

} // namespace chivedeal::forward

#endif
