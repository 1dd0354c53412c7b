#ifndef CHIVEDEAL_STATE_PUBLISHED_STATE_HPP
#define CHIVEDEAL_STATE_PUBLISHED_STATE_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/result.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "chivedeal/state/log_position.hpp"
#include "chivedeal/state/log_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::state {

struct cluster_state;

/// What the state keeper shows to other threads, and what a restarted keeper begins with. Calls
/// hold a lock only for a short copy, so the RPC thread may make them.
class published_state
{
public:
    /// `max_tail_bytes` bounds the raw records kept for peers.
    explicit published_state(std::size_t max_tail_bytes = 2 * 1024 * 1024);

    /// Never null.
    std::shared_ptr<const cluster_state> state() const;
    bool ready() const;
    log_progress progress() const;

    /// For `membership::peer_handler`: at most `max_answer_records` records of the control stream
    /// from `offset`; `log_truncated` when they are no longer kept.
    result<std::vector<log_entry>> records_from(std::uint64_t offset) const;

    /// For `membership::peer_handler`: an encoded snapshot from which `records_from` leads on;
    /// `not_ready` before there is one.
    result<std::string> snapshot() const;

    log_position& control_position() { return m_control_position; }
    log_position& claims_position() { return m_claims_position; }

    /// For the keeper.
    void publish(std::shared_ptr<const cluster_state> state, bool ready, log_progress progress);
    void add_records(const std::vector<log_entry>& entries);
    void store_snapshot(std::string data);

    /// Whether the tail has grown so much since the stored snapshot that a new one is due, or one
    /// was requested.
    bool snapshot_due() const;

    /// Asks the keeper for a fresh snapshot; it follows at the latest after a long poll.
    void request_snapshot();
    bool snapshot_requested() const;

    /// Returns false when the record was already told to the listeners: a restarted keeper reads
    /// records again, and a claim that shows up twice might run twice.
    bool mark_notified(const std::string& stream, std::uint64_t offset);

    static constexpr std::size_t max_answer_records = 1000;

private:
    std::size_t m_max_tail_bytes;
    log_position m_control_position;
    log_position m_claims_position;
    mutable mutex m_mutex;
    std::shared_ptr<const cluster_state> m_state;
    std::shared_ptr<const std::string> m_snapshot;
    std::size_t m_bytes_since_snapshot = 0;
    std::deque<log_entry> m_tail;
    std::size_t m_tail_bytes = 0;
    std::uint64_t m_notified_control = 0;
    std::uint64_t m_notified_claims = 0;
    bool m_ready = false;
    bool m_snapshot_requested = false;
    log_progress m_progress;
};

} // namespace chivedeal::state

#endif
