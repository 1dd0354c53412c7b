#ifndef CHIVEDEAL_FORWARD_ENDPOINT_POOL_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_POOL_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/endpoint_choice.hpp"
#include "chivedeal/forward/endpoint_health.hpp"
#include "chivedeal/forward/endpoint_load.hpp"
#include "chivedeal/forward/endpoint_query.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/prompt_notice.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// The endpoints that may get requests, their load and their health; chooses one for each attempt.
///
/// The score of an endpoint is the predicted time to its first byte: until it has read the prompts
/// that all nodes gave it, its part of the own prompt that it doesn't hold, requests beyond its
/// slots, the link, and its recent failures. All nodes put a shared prompt part on the same endpoints by rendezvous
/// hashing, without messages.
class endpoint_pool
{
public:
    struct options
    {
        node_id self;
        region_id region;
        std::map<zone_id, region_id> zones;
    };

    explicit endpoint_pool(options place) : m_options(std::move(place)) {}

    /// Adds or changes an endpoint. Another start time under the same identifier is a new endpoint.
    void update(const endpoint_record& record);

    void remove(const endpoint_id& id);

    /// Splits a service's requests between one version and all others. A version without share gets
    /// none at all; otherwise a side without a usable endpoint leaves its requests to the other.
    void set_version_share(const service_id& service, const version_id& version, double share);
    void clear_version_share(const service_id& service);

    /// Errors: `unknown_service` without any endpoint, `no_endpoint` when all are out of use,
    /// `shed` when all are full.
    result<endpoint_choice> choose(const endpoint_query& query, double random,
                                   absl::Time now) const;

    /// `reading` is the choice's `reading_tokens`.
    void on_sent(const endpoint_id& id, std::int64_t reading, absl::Time now);
    /// The answer began: its prompt has been read, `late` after the predicted time.
    void on_first_byte(const endpoint_id& id, const endpoint_query& query, absl::Duration late,
                       absl::Time now);
    /// More of an answer came.
    void on_bytes(const endpoint_id& id, absl::Time now);
    /// `answered`: whether the answer had begun.
    void on_ended(const endpoint_id& id, bool answered);

    void on_success(const endpoint_id& id, absl::Time now);
    /// The endpoint failed a request it had taken.
    void on_failure(const endpoint_id& id, absl::Time now);
    /// The endpoint did not answer in time. Peers aren't told: under load many are late, and the
    /// others would get their requests as well.
    void on_silence(const endpoint_id& id, absl::Time now);
    /// The endpoint can't be reached, or another one has its address.
    void on_unreachable(const endpoint_id& id, absl::Time now);
    /// The endpoint refused a request because it is full.
    void on_refused(const endpoint_id& id, absl::Time now);

    /// Replaces what a peer has under way; adds what it sent and how its requests ended since its
    /// last report.
    void set_peer_load(const node_id& peer, const std::vector<endpoint_load>& loads,
                       absl::Time now);
    /// A peer gave an endpoint a long prompt; its next report counts it, too.
    void on_peer_prompt(const prompt_notice& notice, absl::Time now);
    void forget_peer(const node_id& peer);

    /// Returns the long prompts that were sent since the last call, for the peers.
    std::vector<prompt_notice> take_notices() { return std::exchange(m_notices, {}); }

    /// What this node has under way, for its peers. Endpoints that it has used neither now nor
    /// lately are left out.
    std::vector<endpoint_load> own_load(absl::Time now) const;

private:
    struct entry
    {
        endpoint_record record;
        int own_requests = 0;
        int peer_requests = 0;
        std::int64_t own_sent_tokens = 0;
        std::int64_t own_answered = 0;
        std::int64_t own_failed = 0;
        absl::Time last_used = absl::InfinitePast();
        // When the endpoint has read the prompts that it was given.
        absl::Time read_by = absl::InfinitePast();
        endpoint_health health;
        // Prompt parts that this node's requests left in the endpoint's memory, by last use.
        absl::flat_hash_map<std::string, absl::Time> parts;
    };

    struct scored
    {
        const entry* candidate;
        double milliseconds;
        std::int64_t cached_tokens;
    };

    using peer_loads = std::map<endpoint_id, endpoint_load>;

    struct version_split
    {
        version_id version;
        double share = 1;
    };

    bool allows_version(const entry& one, double random) const;
    bool is_rolled_back(const entry& one) const;
    std::int64_t cached_tokens(const entry& one, const endpoint_query& query, bool is_home,
                               absl::Time now) const;
    double predict_ms(const entry& one, const endpoint_query& query, std::int64_t cached,
                      absl::Time now) const;
    static void add_prompt(entry& one, std::int64_t tokens, absl::Time now);
    std::vector<const entry*> usable(const endpoint_query& query, double random,
                                     absl::Time now) const;
    bool is_local(const entry& one) const;
    // Adds `sign` times what a peer has under way.
    void count_peer(const peer_loads& loads, int sign);

    options m_options;
    absl::flat_hash_map<endpoint_id, entry> m_entries;
    std::map<service_id, std::vector<endpoint_id>> m_by_service;
    std::map<service_id, version_split> m_splits;
    std::map<node_id, peer_loads> m_peer_loads;
    std::vector<prompt_notice> m_notices;
};

} // namespace chivedeal::forward

#endif
