#ifndef CHIVEDEAL_FORWARD_ENDPOINT_HEALTH_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_HEALTH_HPP

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// Whether an endpoint may get requests, from how requests of all nodes went there.
class endpoint_health
{
public:
    enum class state
    {
        usable,
        /// It can't be reached or is full.
        paused,
        /// It fails requests, or nothing comes from it.
        failing,
    };

    /// `read_by`: when it has read the prompts that it was given.
    state at(absl::Time now, absl::Time read_by) const;

    /// Requests of this node wait there, and nothing has come from it for long.
    bool is_silent_here(absl::Time now, absl::Time read_by) const;

    /// Share of failures among the last requests.
    double failure_share() const { return m_failure_share; }

    void on_sent(absl::Time now);
    void on_answer_begun(absl::Time now);
    /// More of any answer came.
    void on_bytes(absl::Time now);
    /// A request ended before its answer had begun.
    void on_unanswered_end();

    /// Requests that ended at any node; in which order isn't known.
    void on_outcomes(std::int64_t answered, std::int64_t failed, absl::Time now);
    /// It can't be reached, or another endpoint has its address.
    void on_unreachable(absl::Time now);
    void on_refused(absl::Time now);

    /// Adds `change` to the number of peers that find it silent.
    void count_silent_peers(int change) { m_silent_peers += change; }

private:
    int m_failures_in_row = 0;
    double m_failure_share = 0;
    absl::Time m_unusable_until = absl::InfinitePast();
    // Out of use for requests that it failed.
    bool m_failing = false;
    // Requests of this node whose answer has not begun.
    int m_waiting = 0;
    // The later of the first of these and the last sign of life.
    absl::Time m_waiting_since = absl::InfiniteFuture();
    absl::Time m_last_alive = absl::InfinitePast();
    int m_silent_peers = 0;
};

} // namespace chivedeal::forward

#endif
