#ifndef CHIVEDEAL_FORWARD_TOPIC_TAIL_HPP
#define CHIVEDEAL_FORWARD_TOPIC_TAIL_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/relayed_batch.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace chivedeal::forward {

/// Decides when a node reads a topic itself and when it follows what a peer reads.
///
/// In each region the node with the lowest name that reaches the store ends up reading; the others
/// read again when they hear nothing of it for a while, or when they miss something.
class topic_tail
{
public:
    struct options
    {
        node_id self;
        /// A peer's read stands in for an own one for this long. Peers read every 600 ms, later on
        /// busy machines; what changed has to be known everywhere within 2.5 s.
        absl::Duration trust = absl::Milliseconds(1400);
        /// Pause after a failed read; doubled with each further one up to the longest.
        absl::Duration first_pause = absl::Milliseconds(200);
        absl::Duration longest_pause = absl::Milliseconds(800);
        /// The same where a peer read for the node: in an outage of the store a few nodes find its
        /// return for all, and refused calls are paid for.
        absl::Duration first_follower_pause = absl::Seconds(1);
        absl::Duration longest_follower_pause = absl::Seconds(2);
    };

    explicit topic_tail(options settings) : m_options(std::move(settings)) {}

    /// Offset of the next read; absent until the topic was read in full.
    std::optional<std::uint64_t> next() const { return m_next; }

    void on_own_read(std::uint64_t next)
    {
        m_next = next;
        m_behind = false;
        m_failures = 0;
        m_follows = false;
    }
    /// Returns how long to wait before the next own read.
    absl::Duration on_failed_read();

    /// The whole topic has to be read anew.
    void reset() { m_next.reset(); }

    /// Returns whether the batch's records are to be applied.
    bool on_relay(const relayed_batch& batch, absl::Time now);

    bool must_read(absl::Time now) const { return !m_next || m_behind || now >= m_trusted_until; }

private:
    options m_options;
    std::optional<std::uint64_t> m_next;
    bool m_behind = false;
    int m_failures = 0;
    // The last news came from a peer.
    bool m_follows = false;
    absl::Time m_trusted_until = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
