#ifndef CHIVEDEAL_FORWARD_ENDPOINT_HEALTH_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_HEALTH_HPP

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// Decides whether an endpoint may receive requests, from the outcomes of all nodes' requests.
class endpoint_health
{
public:
    enum class state
    {
        usable,
        /// The endpoint is unreachable or full.
        paused,
        /// The endpoint fails requests or sends no data.
        failing,
    };

    /// `prefill_done_at` is the expected time at which the endpoint has read all its prompts.
    state state_at(absl::Time now, absl::Time prefill_done_at) const;

    /// Whether the endpoint could not be reached by this node lately. One that fails or refuses
    /// requests can be.
    bool is_unreachable(absl::Time now) const { return now < m_unreachable_until; }

    /// Whether requests of this node are unanswered and the endpoint has sent no data for too long.
    bool is_silent_to_this_node(absl::Time now, absl::Time prefill_done_at) const;

    /// Share of failures among the most recent requests.
    double failure_share() const { return m_failure_share; }

    void on_sent(absl::Time now);
    void on_response_started(absl::Time now);
    /// Data of any response arrived.
    void on_bytes(absl::Time now);
    /// A request ended before its response had started.
    void on_ended_without_response();

    /// Adds requests that ended, at this node or a peer. Their order is unknown.
    void on_outcomes(std::int64_t answered, std::int64_t failed, absl::Time now);
    /// The endpoint is unreachable, or another one uses its address.
    void on_unreachable(absl::Time now);
    void on_refused(absl::Time now);

    /// Adds `delta` to the number of peers that report the endpoint as silent.
    void adjust_silent_peers(int delta) { m_silent_peer_count += delta; }

private:
    int m_consecutive_failures = 0;
    double m_failure_share = 0;
    absl::Time m_unusable_until = absl::InfinitePast();
    absl::Time m_unreachable_until = absl::InfinitePast();
    // Whether failed requests, not an unreachable address, made the endpoint unusable.
    bool m_unusable_due_to_failures = false;
    // Requests of this node whose response has not started.
    int m_unanswered_requests = 0;
    // Start of the current silence: when a request was sent while no other was unanswered, or when
    // data last arrived if that is later.
    absl::Time m_silent_since = absl::InfiniteFuture();
    absl::Time m_last_activity = absl::InfinitePast();
    int m_silent_peer_count = 0;
};

} // namespace chivedeal::forward

#endif
