#ifndef CHIVEDEAL_FORWARD_TRACKED_ROLLOUT_HPP
#define CHIVEDEAL_FORWARD_TRACKED_ROLLOUT_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/rollout_evaluator.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace chivedeal::forward {

/// A roll-out as one node follows it: the node's own evaluation, and the final state once it is
/// decided. A final state is decided when the store has accepted it for the first time; from then
/// on it takes precedence over every node's evaluation.
class tracked_rollout
{
public:
    tracked_rollout(rollout_evaluator::options settings, rollout_order order, absl::Time now);

    /// Replaces the counts of `node`. Ignores counts for another order.
    void on_outcomes(const node_id& node, const version_outcomes& counts);
    /// Takes the order's status in the store; `stored` is empty if there is none.
    void on_status_read(const std::optional<rollout_status>& stored, absl::Time now);
    /// The store accepted this status.
    void on_status_written(const rollout_status& written, absl::Time now);
    /// A peer knows that the store accepted this final state.
    void on_decided(rollout_state final_state, absl::Time now);
    /// The order was written again at another offset.
    void on_rewritten(std::uint64_t offset);
    /// The store was restored from an older copy, so its status isn't known any more.
    void on_restored();

    /// Evaluates the outcomes of all nodes. Does nothing before the status was read once, since the
    /// roll-out may have ended before this process started.
    void evaluate(absl::Time now);

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

    /// The status to be stored.
    rollout_status status() const;
    /// Whether the store lacks `status()`. Only known after a read.
    bool needs_write() const;
    bool is_status_read() const { return m_is_status_read; }
    /// Whether the status was known in an earlier epoch of the store.
    bool is_carried() const { return m_is_carried; }

private:
    rollout_evaluator m_evaluator;
    std::map<node_id, version_outcomes> m_outcomes;
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
