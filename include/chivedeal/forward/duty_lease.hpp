#ifndef CHIVEDEAL_FORWARD_DUTY_LEASE_HPP
#define CHIVEDEAL_FORWARD_DUTY_LEASE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace chivedeal::forward {

/// Decides when this node requests the control lease and whether it holds it.
///
/// A grant is a record appended at the topic's expected end; its offset is the fencing token. The
/// holder proves that it is alive by sending its token in the beacons to its peers. A node that has
/// received no sign of a holder for a term may request the lease. It requests it immediately if the
/// lease was never granted, or if the node itself was the last holder before its process restarted.
class duty_lease
{
public:
    struct options
    {
        node_id self;
        absl::Duration term = absl::Seconds(3);
        /// Wait in addition to the term, different on each node, so that the other nodes hear of
        /// the first one to request the lease before they request it as well.
        absl::Duration stagger = absl::ZeroDuration();
        /// After a longer gap between two ticks the node reads the lease again before it acts.
        absl::Duration max_tick_interval = absl::Seconds(1);
    };

    enum class action
    {
        none,
        /// Read the topic, then report `on_read`.
        read,
        /// Append a grant at `expected_end`, then report `on_granted` or `on_conflict`, or nothing
        /// if the append failed otherwise.
        append,
    };

    duty_lease(options settings, absl::Time now);

    /// Must be called at least twice per `max_tick_interval`.
    action tick(absl::Time now);

    /// Takes the newest grant in the topic; `holder` is empty if there is none.
    void on_read(std::optional<node_id> holder, std::uint64_t token, std::uint64_t topic_end,
                 absl::Time now);
    void on_granted(std::uint64_t token, absl::Time now);
    void on_conflict(absl::Time now);
    /// A peer's beacon claims the lease with `token`.
    void on_holder_beacon(std::uint64_t token, absl::Time now);
    /// A newer grant has replaced this node's, or the platform rejected its token as stale.
    void on_fenced(absl::Time now);
    /// The store was restored: offsets that were read are invalid. A holder appends a grant again
    /// unless another node has done so; until then it doesn't act.
    void on_restored();
    /// Gives up the lease for good, since the node is draining.
    void release()
    {
        m_released = true;
        m_held_token.reset();
        m_must_regrant = false;
    }

    /// The fencing token while the node may act as the holder.
    std::optional<std::uint64_t> held_token(absl::Time now) const;

    std::uint64_t expected_end() const { return m_topic_end; }

private:
    void record_holder_activity(absl::Time now);

    options m_options;
    std::optional<std::uint64_t> m_held_token;
    std::uint64_t m_highest_token = 0;
    bool m_has_highest_token = false;
    std::uint64_t m_topic_end = 0;
    absl::Time m_last_tick;
    absl::Time m_holder_seen_at;
    // Time without a sign of a holder after which the node requests the lease. A node that has just
    // started knows of no holder and waits for its stagger only.
    absl::Duration m_holder_timeout;
    // A node that lost the lease doesn't request it again within a term.
    absl::Time m_earliest_request = absl::InfinitePast();
    absl::Time m_next_read = absl::InfinitePast();
    bool m_must_read = true;
    bool m_may_append = false;
    // The grant of `m_held_token` belongs to an earlier epoch of the store.
    bool m_must_regrant = false;
    bool m_released = false;
};

} // namespace chivedeal::forward

#endif
