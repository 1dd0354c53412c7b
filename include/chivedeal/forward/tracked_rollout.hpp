#ifndef CHIVEDEAL_FORWARD_TRACKED_ROLLOUT_HPP
#define CHIVEDEAL_FORWARD_TRACKED_ROLLOUT_HPP

#include "chivedeal/forward/endpoints_left.hpp"
#include "chivedeal/forward/outcome_ledger.hpp"
#include "chivedeal/forward/rollout_evaluator.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace chivedeal::forward {

/// A roll-out as one node follows it: the node's own evaluation, and the final state once it is
/// decided. A final state is decided when the store has accepted it for the first time; from then
/// on it takes precedence over every node's evaluation.
class tracked_rollout
{
public:
    tracked_rollout(rollout_evaluator::options settings, rollout_order order, absl::Time now);

    /// Takes the counts of a process. Ignores counts for another order.
    void on_outcomes(const std::string& process, const version_outcomes& counts);
    /// Whether a status in the store is that of this order, not of an earlier one.
    bool is_own_status(const rollout_status& stored) const;
    /// Versions that carried the service's traffic when the roll-out was ordered; empty if unknown.
    const std::set<version_id>& stable() const { return m_stable; }
    void set_stable(std::set<version_id> versions);
    /// Takes the order's status in the store and goes on from its evidence; `stored` is empty if
    /// there is none.
    void on_status_read(const std::optional<rollout_status>& stored, absl::Time now);
    /// The store accepted this status.
    void on_status_written(const rollout_status& written, absl::Time now);
    /// A peer knows that the store accepted this final state.
    void on_decided(rollout_state final_state, absl::Time now);
    /// The order was written again at another offset.
    void on_rewritten(std::uint64_t offset);
    /// The store was restored from an older copy, so its status isn't known any more.
    void on_restored();

    /// Evaluates the outcomes of all nodes. Before the status was read once, or while `left` is
    /// empty because the endpoints aren't known, a bad version loses its traffic, but the roll-out
    /// isn't completed.
    void evaluate(const std::optional<endpoints_left>& left, absl::Time now,
                  absl::Duration true_time_offset);

    const rollout_order& order() const { return m_evaluator.order(); }
    rollout_state state() const { return m_decided.value_or(m_evaluator.state()); }
    bool is_decided() const { return m_decided.has_value(); }
    /// When this node learned of the decision; `InfiniteFuture` before.
    absl::Time decided_at() const { return m_decided_at; }
    /// When this node's own evaluation became final without a decision; `InfiniteFuture` if none.
    absl::Time undecided_since() const
    {
        return m_decided ? absl::InfiniteFuture() : m_evaluated_at;
    }
    /// Share of the service's requests that the target version gets.
    double share() const;

    /// Responses on all nodes, as far as this one knows.
    version_outcomes total() const { return m_outcomes.total(); }
    double excess_increase() const { return m_evaluator.excess().increase(); }
    /// The status to be stored.
    rollout_status status(absl::Duration true_time_offset) const;
    /// Whether the status in the store has to be replaced. Only known after a read.
    bool needs_write(absl::Time now) const;
    /// Evidence that the store lacks is to be written without delay.
    void request_checkpoint() { m_written_at = absl::InfinitePast(); }
    bool is_status_read() const { return m_is_status_read; }
    /// Whether the status was known in an earlier epoch of the store.
    bool is_carried() const { return m_is_carried; }

private:
    rollout_evaluator m_evaluator;
    absl::Time m_learned_at;
    // True time of the start, from the store.
    std::optional<absl::Time> m_started_at;
    outcome_ledger m_outcomes;
    std::set<version_id> m_stable;
    absl::Time m_written_at = absl::InfinitePast();
    std::optional<rollout_state> m_decided;
    // Newest status that the store is known to hold.
    std::optional<rollout_status> m_stored;
    bool m_is_status_read = false;
    bool m_is_carried = false;
    absl::Time m_decided_at = absl::InfiniteFuture();
    absl::Time m_evaluated_at = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
