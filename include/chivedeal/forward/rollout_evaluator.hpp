#ifndef CHIVEDEAL_FORWARD_ROLLOUT_EVALUATOR_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_EVALUATOR_HPP

#include "chivedeal/forward/endpoints_left.hpp"
#include "chivedeal/forward/excess_tracker.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace chivedeal::forward {

/// Decides the traffic share and the final state of one roll-out from the outcomes on all nodes and
/// the endpoints that are left. docs/design/rollouts.md lists the states and what leads to each.
class rollout_evaluator
{
public:
    struct options
    {
        /// Share of the service's requests until the version is proven good.
        double unproven_share = 0.05;
        /// Excess of bad responses over its lowest value so far at which a version is rolled back.
        /// Well below the platform's limit of 50 bad responses, since nodes learn of each other's
        /// outcomes with a delay.
        int max_excess_bad_responses = 12;
        /// Good responses required to prove a version good.
        int min_good_responses = 60;
        /// Responses beyond its share by which a version may be proven where its share is too small to
        /// do so in time.
        double extra_responses = 0;
        /// Delay with which outcomes of other nodes become known.
        absl::Duration outcome_delay;
    };

    /// Bad responses of the target version beyond those that the stable versions' failure rate
    /// explains; negative if it fails less often than they do.
    static double excess_bad_responses(const version_outcomes& total);

    rollout_evaluator(options settings, rollout_order order, absl::Time started_at);

    /// `total` is the sum over all nodes.
    void on_outcomes(const version_outcomes& total, absl::Time now);
    /// Empty while the endpoints aren't known; then the roll-out doesn't end.
    void set_endpoints_left(std::optional<endpoints_left> left) { m_left = left; }
    /// Until the stored status is known, failures count, but not the time that passes: the roll-out
    /// may have ended before.
    void set_status_known(bool value) { m_is_status_known = value; }
    /// Whether the target version carried the traffic before: the order calls off another one. It is
    /// then no unproven version, and there is none to go back to.
    void set_target_stable(bool value) { m_is_target_stable = value; }
    /// Another node has proven the version good.
    void on_proven() { m_proven = true; }
    /// Lowest excess that another process has seen.
    void on_lowest_excess(double excess) { m_excess.on_lowest(excess); }
    void set_started_at(absl::Time started_at) { m_started_at = started_at; }

    /// The order was written again at another offset.
    void set_order_offset(std::uint64_t offset) { m_order.offset = offset; }

    const rollout_order& order() const { return m_order; }
    rollout_state state() const { return m_state; }
    const excess_tracker& excess() const { return m_excess; }
    bool is_proven() const { return m_proven || m_is_target_stable; }
    /// Share of the service's requests that the target version gets.
    double share() const;

private:
    void record_answers(const version_outcomes& total, absl::Time now);
    void record_left(absl::Time now);
    // Decides whether the version gets a larger share to be proven in time.
    void adapt_share(absl::Time now);
    // Notices that the process was stopped for a time.
    void record_evaluation(absl::Time now);
    // Other versions answer the requests that the target version should get.
    bool is_target_silent() const;
    // Rolls back, unless what happened since `since` suggests that the other versions are lost.
    void give_up(absl::Time since, absl::Time now);
    bool can_go_back(absl::Time now) const;
    // Whether the version has too many failures to be proven, but not enough to be rolled back.
    bool is_suspect() const;
    void complete(double elapsed_fraction, absl::Time now);
    void complete_without_others(absl::Time now);

    options m_options;
    rollout_order m_order;
    absl::Time m_started_at;
    rollout_state m_state = rollout_state::running;
    bool m_proven = false;
    bool m_has_larger_share = false;
    bool m_is_status_known = true;
    bool m_is_target_stable = false;
    // The version has failed so often that it is rolled back as soon as another one is left.
    bool m_condemned = false;
    absl::Time m_evaluated_at = absl::InfiniteFuture();
    // Until then, what is known may be older than the last evaluations suggest.
    absl::Time m_outdated_until = absl::InfinitePast();
    // When the version was first to be rolled back.
    absl::Time m_given_up_at = absl::InfiniteFuture();
    std::optional<endpoints_left> m_left = endpoints_left{};
    // Since when no other version is left; `InfiniteFuture` while one is.
    absl::Time m_others_lost_at = absl::InfiniteFuture();
    std::optional<version_outcomes> m_total;
    excess_tracker m_excess;
    // When good responses of either side were last seen.
    absl::Time m_target_answered_at = absl::InfinitePast();
    absl::Time m_others_answered_at = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
