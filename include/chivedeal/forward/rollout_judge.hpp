#ifndef CHIVEDEAL_FORWARD_ROLLOUT_JUDGE_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_JUDGE_HPP

#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include "absl/time/time.h"

namespace chivedeal::forward {

/// Decides the share and the verdict of one roll-out from the outcomes that all nodes saw.
class rollout_judge
{
public:
    struct options
    {
        /// Share of the service's requests until the version is shown good.
        double unproven_share = 0.05;
        /// Bad answers in surplus that take a version back. Well below the platform's bound of 50,
        /// since nodes hear of each other's outcomes late.
        int most_bad = 12;
        /// Answers that show a version good.
        int enough_good = 60;
    };

    rollout_judge(options settings, rollout_order order, absl::Time started);

    /// `total` sums the outcomes of all nodes.
    void on_outcomes(const version_outcomes& total, absl::Time now);
    /// Another node found an outcome; only a final state is taken over.
    void on_state(rollout_state state);

    const rollout_order& order() const { return m_order; }
    rollout_state state() const { return m_state; }
    /// Share of the service's requests that the target version gets.
    double share() const;

private:
    options m_options;
    rollout_order m_order;
    absl::Time m_started;
    rollout_state m_state = rollout_state::running;
    bool m_proven = false;
};

} // namespace chivedeal::forward

#endif
