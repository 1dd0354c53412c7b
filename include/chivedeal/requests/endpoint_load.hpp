#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_LOAD_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_LOAD_HPP

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace chivedeal::requests {

struct load_report;

namespace detail {

/// Load of an endpoint: its last report, corrected by this node's attempts since then.
class endpoint_load
{
public:
    struct options
    {
        /// An older report is ignored and only the node's own attempts count. From half this age
        /// on, a report gradually loses weight, since all nodes act on the same outdated report.
        absl::Duration stale_after = absl::Seconds(5);
        /// Slots assumed without a report. Lower than what engines have, since the requests of
        /// other nodes are then unknown.
        int default_slots = 4;
        /// Time after which a failed attempt counts half.
        absl::Duration failure_half_life = absl::Seconds(10);
    };

    /// `tunables` must outlive the object; all endpoints share it.
    endpoint_load(const options& tunables, absl::Time first_seen);

    void on_report(const load_report& report, absl::Time now);
    /// `tokens` is the number of prompt tokens that the engine has to compute.
    void on_started(double tokens, absl::Time now);
    void on_prefilled(double tokens);
    void on_ended(bool failed, absl::Time now);
    /// `share` is the fraction of the tokens expected in the cache that the engine found there.
    void on_cache_use(double share);

    bool has_report(absl::Time now) const { return now - m_reported_at <= m_options->stale_after; }
    /// Estimated number of attempts of all nodes at the endpoint.
    double estimated_attempts(absl::Time now) const;
    int slots(absl::Time now) const { return has_report(now) ? m_slots : m_options->default_slots; }
    /// Returns 0 when not known.
    double tokens_per_second(absl::Time now) const
    {
        return has_report(now) ? m_tokens_per_second : 0;
    }
    double prefill_tokens() const { return m_prefill_tokens; }
    double failures(absl::Time now) const;
    double cache_reliability() const { return m_cache_reliability; }
    int outstanding() const { return m_outstanding; }
    absl::Time first_seen() const { return m_first_seen; }

private:
    void add_change(int change, absl::Time now);

    const options* m_options;
    absl::Time m_first_seen;
    absl::Time m_reported_at = absl::InfinitePast();
    int m_reported_attempts = 0;
    int m_slots = 1;
    double m_tokens_per_second = 0;
    int m_outstanding = 0;
    /// Starts (+1) and ends (-1) of this node's attempts since the report.
    std::deque<std::pair<absl::Time, int>> m_recent_changes;
    int m_net_change = 0;
    double m_prefill_tokens = 0;
    double m_failure_score = 0;
    absl::Time m_last_failure_at = absl::InfinitePast();
    double m_cache_reliability = 0.9;
};

} // namespace detail
} // namespace chivedeal::requests

#endif
