#ifndef CHIVEDEAL_FORWARD_TOPIC_TAIL_HPP
#define CHIVEDEAL_FORWARD_TOPIC_TAIL_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/relayed_batch.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace chivedeal::forward {

/// Tracks a node's read offset in a topic, and decides whether it reads the topic itself or relies
/// on the batches that a peer relays.
///
/// In each region, the node with the lowest ID among those that reach the store ends up as the
/// reader. The others read again when no batch arrives for a while or when they miss one.
class topic_tail
{
public:
    struct options
    {
        node_id self;
        /// How long a relayed batch replaces a read by this node. The default fits reads every
        /// 600 ms, or less often on busy machines, and changes that have 2.5 s to reach all nodes.
        absl::Duration relay_validity = absl::Milliseconds(1400);
        /// Delay after a failed read; doubles with each further failure up to the maximum.
        absl::Duration min_retry_delay = absl::Milliseconds(200);
        absl::Duration max_retry_delay = absl::Milliseconds(800);
        /// The same for a node that relied on a peer. In an outage of the store, a few readers
        /// detect its recovery for all nodes, and rejected calls are billed.
        absl::Duration min_follower_retry_delay = absl::Seconds(1);
        absl::Duration max_follower_retry_delay = absl::Seconds(2);
    };

    explicit topic_tail(options settings) : m_options(std::move(settings)) {}

    /// Offset of the next read; absent until the whole topic has been read.
    std::optional<std::uint64_t> next_offset() const { return m_next_offset; }

    /// Epoch of the store that the offset belongs to.
    std::uint64_t epoch() const { return m_epoch; }

    /// Takes an epoch of the store that the node learned of. In a new one, offsets are reused, so
    /// the whole topic is read again. Returns whether the epoch is new.
    bool begin_epoch(std::uint64_t epoch);

    void on_own_read(std::uint64_t next)
    {
        m_next_offset = next;
        m_missed_records = false;
        m_failures = 0;
        m_is_follower = false;
    }
    /// Returns how long this node waits before it reads again.
    absl::Duration on_failed_read();

    /// Makes the node read the whole topic again.
    void reset() { m_next_offset.reset(); }

    /// Returns whether the records of the batch have to be applied.
    bool on_relay(const relayed_batch& batch, absl::Time now);

    bool must_read(absl::Time now) const
    {
        return !m_next_offset || m_missed_records || now >= m_relay_valid_until;
    }

private:
    options m_options;
    std::uint64_t m_epoch = 0;
    std::optional<std::uint64_t> m_next_offset;
    bool m_missed_records = false;
    int m_failures = 0;
    // A peer with a lower ID has relayed a batch since this node's last read.
    bool m_is_follower = false;
    absl::Time m_relay_valid_until = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
