#ifndef CHIVEDEAL_STATE_CHANGE_TRACKER_HPP
#define CHIVEDEAL_STATE_CHANGE_TRACKER_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/state/append_listener.hpp"
#include "chivedeal/state/state_listener.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace chivedeal::state {

/// Lets a handler thread of the operator API wait until its change is applied, and keeps the
/// effects of the most recent changes of the control stream for later queries.
class change_tracker : public state_listener, public append_listener
{
public:
    explicit change_tracker(std::size_t capacity = 16'384) : m_capacity(capacity) {}

    /// Waits until the change's record is read back from the log. Returns its effect: `ok`,
    /// `conflict` or another code if it was rejected, or `outcome_unknown` on timeout.
    error wait(const change_id& change, absl::Duration timeout);

    /// Returns the effect, or `nullopt` if the change has not been applied on this node or is no
    /// longer kept.
    std::optional<error> find(const change_id& change) const;

    void on_applied(const applied_record& applied) override;
    void on_state(std::shared_ptr<const cluster_state> state) override;
    void on_appended(const change_id& change) override;

private:
    void record_effect(const change_id& change, const error& effect);

    std::size_t m_capacity;
    mutable mutex m_mutex;
    condition m_changed;
    absl::flat_hash_map<change_id, error> m_effects;
    std::deque<change_id> m_change_order;
};

} // namespace chivedeal::state

#endif
