#ifndef CHIVEDEAL_REQUESTS_CLAIM_TRACKER_HPP
#define CHIVEDEAL_REQUESTS_CLAIM_TRACKER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/claim_entry.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::requests {

/// Tracks this node's pending claims of idempotency keys and the state of all keys in the log.
///
/// The log decides which node wins a key. The tracker only answers repeated requests and may evict
/// a key or its result, since a new claim of an evicted key conflicts in the log. A claim that is not read back
/// by its deadline is abandoned: its request never runs, and if the claim takes effect later, the
/// key is released.
class claim_tracker
{
public:
    struct options
    {
        node_id node;
        /// Unique to each start of the node; part of the change IDs of its claims in the log.
        std::string incarnation;
        absl::Duration claim_timeout = absl::Seconds(3);
        /// Maximum number of keys kept; the oldest are evicted first.
        std::size_t max_keys = 20'000;
        /// Maximum number of pending claims, abandoned ones included; further claims are refused.
        std::size_t max_pending = 2'000;
        /// Limits the results kept, all keys together. The oldest are dropped first and then answered
        /// as `unknown`, as they are in the log.
        std::size_t max_body_bytes = 4 * 1024 * 1024;
    };

    /// Effect of an applied record on the claims of this process.
    enum class verdict
    {
        /// The record is not a pending claim of this process.
        foreign,
        won,
        lost,
        /// The claim took effect after it was abandoned; the caller must `release` the key.
        abandoned,
    };

    struct decision
    {
        verdict result = verdict::foreign;
        request_id request;
        std::string key;
    };

    explicit claim_tracker(options settings);

    /// Returns the claim to append, or nothing if this node already has a pending claim of the key
    /// or `max_pending` is reached.
    std::optional<state::record> propose(const request_id& request, const std::string& key,
                                         absl::Time now);
    /// Removes a pending claim that the log refused and returns its request, if any.
    std::optional<request_id> withdraw(const std::string& key);
    /// Marks a pending claim as abandoned: its request must not run.
    void abandon(const std::string& key);
    /// Abandons the claims that timed out and returns their requests.
    std::vector<request_id> expire(absl::Time now);

    /// Applies a record of the claims stream.
    decision apply(const state::applied_record& applied, absl::Time now);
    /// Adds the claims of a snapshot.
    void restore(const std::vector<state::claim_entry>& claims);

    /// Returns the state of a key in the log; null if the key is free or was evicted.
    const state::claim_entry* find(const std::string& key) const;

    /// Returns a record that frees a key whose request did not run on this node.
    state::record release(const std::string& key);
    /// Returns a record that stores the result of a key.
    state::record finish(const std::string& key, std::string outcome, std::string body);

private:
    struct pending
    {
        request_id request;
        change_id change;
        absl::Time deadline;
        bool abandoned = false;
    };

    decision apply_claim(const state::applied_record& applied, const state::claim& claim,
                         absl::Time now);
    change_id next_change_id(const char* kind);
    void remember(state::claim_entry entry);
    void store_result(state::claim_entry& entry, const state::claim_result& result);
    void erase(const std::string& key);
    void drop_oldest_results();

    options m_options;
    std::uint64_t m_last_change_number = 0;
    absl::flat_hash_map<std::string, pending> m_pending;
    absl::flat_hash_map<std::string, state::claim_entry> m_entries;
    std::deque<std::string> m_insertion_order;
    // Keys with a result, the oldest result first; may contain keys that were erased since.
    std::deque<std::string> m_result_order;
    std::size_t m_body_bytes = 0;
};

} // namespace chivedeal::requests

#endif
