#ifndef CHIVEDEAL_FORWARD_DUTY_LEASE_HPP
#define CHIVEDEAL_FORWARD_DUTY_LEASE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace chivedeal::forward {

/// Decides when this node holds the control lease.
///
/// A grant is a record appended at the topic's expected end; its offset is the fencing token. The
/// holder shows itself alive by its token in the datagrams to its peers. A node that has seen no
/// sign of a holder for a term may ask for the lease; at once where nobody ever held it, or where
/// the node itself held it last, before its process was restarted.
class duty_lease
{
public:
    struct options
    {
        node_id self;
        absl::Duration term = absl::Seconds(3);
        /// Waited beyond the term, different on each node: the first one to ask is heard by the
        /// others before they ask, too.
        absl::Duration stagger = absl::ZeroDuration();
        /// A longer pause between two ticks makes the node read the lease again before it acts.
        absl::Duration longest_pause = absl::Seconds(1);
    };

    enum class step
    {
        none,
        /// Read the topic, then report `on_read`.
        read,
        /// Append a grant at `expected_end`, then report `on_granted`, `on_conflict` or nothing.
        append,
    };

    duty_lease(options settings, absl::Time now);

    /// Called at least twice within `longest_pause`.
    step tick(absl::Time now);

    /// The newest grant in the topic; no holder when there is none.
    void on_read(std::optional<node_id> holder, std::uint64_t token, std::uint64_t end,
                 absl::Time now);
    void on_granted(std::uint64_t token, absl::Time now);
    void on_conflict(absl::Time now);
    /// A peer says that it holds the lease.
    void on_peer_holds(std::uint64_t token, absl::Time now);
    /// The platform refused the token as too low.
    void on_fenced(absl::Time now);
    /// The node leaves: it gives the lease up and asks for none.
    void release()
    {
        m_released = true;
        m_held.reset();
    }

    /// The fencing token, while the node may act.
    std::optional<std::uint64_t> held(absl::Time now) const;

    std::uint64_t expected_end() const { return m_end; }

private:
    void note_holder(absl::Time now);

    options m_options;
    std::optional<std::uint64_t> m_held;
    std::uint64_t m_highest_token = 0;
    bool m_has_highest = false;
    std::uint64_t m_end = 0;
    absl::Time m_last_tick;
    absl::Time m_holder_seen;
    // Silence after which the node asks. At its start it has no sign of a holder to wait after.
    absl::Duration m_patience;
    // A node that lost the lease doesn't take it back within a term.
    absl::Time m_not_before = absl::InfinitePast();
    absl::Time m_next_read = absl::InfinitePast();
    bool m_must_read = true;
    bool m_may_append = false;
    bool m_released = false;
};

} // namespace chivedeal::forward

#endif
