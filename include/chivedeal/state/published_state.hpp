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

/// State that the state keeper publishes to other threads and restores from after a restart.
///
/// Calls hold a lock only for a short copy, so they are safe to make on the RPC thread.
class published_state
{
public:
    /// `max_tail_bytes` limits the memory of the raw records kept for peers.
    explicit published_state(std::size_t max_tail_bytes = 2 * 1024 * 1024);

    /// Never null.
    std::shared_ptr<const cluster_state> state() const;
    bool ready() const;
    log_progress progress() const;

    /// Returns up to `max_answer_records` records of the control stream starting at `offset`; used
    /// by `membership::peer_handler`. Fails with `log_truncated` if they are no longer kept.
    result<std::vector<log_entry>> records_from(std::uint64_t offset) const;

    /// Returns an encoded snapshot whose following records are available from `records_from`; used
    /// by `membership::peer_handler`. Fails with `not_ready` if there is none yet.
    result<std::string> snapshot() const;

    log_position& control_position() { return m_control_position; }
    log_position& claims_position() { return m_claims_position; }

    /// The following three functions are called only by the state keeper.
    void publish(std::shared_ptr<const cluster_state> state, bool ready, log_progress progress);
    void add_records(const std::vector<log_entry>& entries);
    void store_snapshot(std::string data);

    /// Returns true if there is no snapshot yet, a new one was requested, or the tail has grown
    /// enough since the stored snapshot.
    bool snapshot_due() const;

    /// Requests a new snapshot from the keeper, which stores it at the latest after the next long
    /// poll of the log.
    void request_snapshot();
    bool snapshot_requested() const;

    /// Marks a record as delivered to the listeners; returns false if it already was. A restarted
    /// keeper reads records again, and a claim delivered twice might run its request twice.
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
