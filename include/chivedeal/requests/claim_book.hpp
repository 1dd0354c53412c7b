#ifndef CHIVEDEAL_REQUESTS_CLAIM_BOOK_HPP
#define CHIVEDEAL_REQUESTS_CLAIM_BOOK_HPP

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

/// This node's claims of idempotency keys, and what the log says of the keys of all nodes.
///
/// The log decides between nodes; the book only answers repeats and may forget a key, since a new
/// claim of it then conflicts in the log. A claim that is not read back by its deadline is
/// abandoned: it never runs, and its own record is answered with a release.
class claim_book
{
public:
    struct options
    {
        node_id node;
        /// Unique to each start of the node; names its claims in the log.
        std::string series;
        absl::Duration claim_timeout = absl::Seconds(3);
        /// Keys remembered; the oldest go first.
        std::size_t max_keys = 20'000;
        /// Claims under way, abandoned ones included; more are refused.
        std::size_t max_pending = 2'000;
    };

    /// What an applied record means for this node.
    enum class verdict
    {
        /// Not a claim of this process.
        foreign,
        won,
        lost,
        /// In force, but abandoned before; `release` gives it back.
        abandoned,
    };

    struct decision
    {
        verdict result = verdict::foreign;
        request_id request;
        std::string key;
    };

    explicit claim_book(options wiring);

    /// Returns the claim to append; nothing when a claim of the key is under way here, or too many.
    std::optional<state::record> propose(const request_id& request, const std::string& key,
                                         absl::Time now);
    /// The claim never reached the log.
    std::optional<request_id> withdraw(const std::string& key);
    /// The claim must not run any more.
    void abandon(const std::string& key);
    /// Returns the requests whose claims timed out; they are abandoned.
    std::vector<request_id> expire(absl::Time now);

    decision apply(const state::applied_record& applied, absl::Time now);
    void restore(const std::vector<state::claim_entry>& claims);

    /// State of a key in the log; null when free or not remembered.
    const state::claim_entry* find(const std::string& key) const;

    /// Record that frees a key under which this node ran nothing.
    state::record release(const std::string& key);
    /// Record that stores the result of a key.
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
    change_id next_change(const char* kind);
    void remember(state::claim_entry entry);

    options m_options;
    std::uint64_t m_next = 0;
    absl::flat_hash_map<std::string, pending> m_pending;
    absl::flat_hash_map<std::string, state::claim_entry> m_entries;
    std::deque<std::string> m_order;
};

} // namespace chivedeal::requests

#endif
