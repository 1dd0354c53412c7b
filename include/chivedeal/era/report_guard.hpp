#ifndef CHIVEDEAL_ERA_REPORT_GUARD_HPP
#define CHIVEDEAL_ERA_REPORT_GUARD_HPP

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::era {

/// Decides when the lease holder may plan and send usage reports on a store with epochs, so that no
/// window is reported with other counts after the store lost its plan.
class report_guard
{
public:
    struct options
    {
        /// Time after this node learned of an epoch in which nodes write the plans they know again.
        absl::Duration settling_time = absl::Seconds(2);
        /// Time between a plan and its report, in which peers learn of the plan. Beacons are sent
        /// several times a second; the first one is sent to all peers at once.
        absl::Duration publish_time = absl::Milliseconds(400);
    };

    explicit report_guard(absl::Time started_at) : report_guard(started_at, options{}) {}
    report_guard(absl::Time started_at, options settings)
        : m_options(settings), m_started_at(started_at)
    {}

    void on_epoch(absl::Time now) { m_settled_at = now + m_options.settling_time; }
    /// The log was first read in an epoch. `has_grant`: a lease was granted in this epoch.
    void on_first_read(bool has_grant) { m_missed_plans = m_is_first_epoch && !has_grant; }
    /// Another epoch follows. A process that was up has heard the plans of the holder.
    void on_further_epoch() { m_is_first_epoch = false; }

    bool may_plan(absl::Time now) const { return now >= m_settled_at; }

    bool may_send(absl::Time planned_at, absl::Time now) const
    {
        return now >= planned_at + m_options.publish_time;
    }

    /// Whether a window without a plan that could be reported from `due` on may already have been
    /// reported: its plan was lost, and this process wasn't up to hear of it.
    bool may_be_reported(absl::Time due) const { return m_missed_plans && due < m_started_at; }

private:
    options m_options;
    absl::Time m_started_at;
    absl::Time m_settled_at = absl::InfinitePast();
    bool m_is_first_epoch = true;
    bool m_missed_plans = false;
};

} // namespace chivedeal::era

#endif
