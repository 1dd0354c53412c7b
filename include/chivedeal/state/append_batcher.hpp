#ifndef CHIVEDEAL_STATE_APPEND_BATCHER_HPP
#define CHIVEDEAL_STATE_APPEND_BATCHER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/record.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Decides which records go into the next append and when a failed one is repeated.
///
/// A batch stays at the head until the log has answered: a lost answer is repeated with the same
/// change IDs, so that its records take effect once.
class append_batcher
{
public:
    struct options
    {
        /// At most one append of claims in this time: 9 nodes then stay under 180 a second.
        absl::Duration claims_interval = absl::Milliseconds(50);
        absl::Duration first_backoff = absl::Milliseconds(100);
        absl::Duration longest_backoff = absl::Seconds(2);
        /// A record older than this is dropped; who waits for it has been told by then that the
        /// outcome is not known.
        absl::Duration give_up_after = absl::Seconds(10);
        std::size_t max_records = 500;
        std::size_t max_bytes = 1024 * 1024;
    };

    struct batch
    {
        std::string stream;
        std::vector<std::string> records;
        std::vector<change_id> changes;

        friend bool operator==(const batch&, const batch&) = default;
    };

    explicit append_batcher(options limits) : m_options(limits) {}

    void add(const record& entry, absl::Time now);

    /// Returns the batch to append now, if any. Call `finished` before the next `take`.
    std::optional<batch> take(absl::Time now);

    void finished(const batch& tried, bool ok, absl::Time now);

    /// Time until `take` may return a batch; infinite when nothing waits.
    absl::Duration wait(absl::Time now) const;

    std::size_t size() const { return m_control.items.size() + m_claims.items.size(); }

private:
    struct item
    {
        std::string data;
        change_id change;
        absl::Time added;
    };

    struct queue
    {
        std::deque<item> items;
        absl::Time next = absl::InfinitePast();
        absl::Duration backoff;
    };

    std::optional<batch> take_from(queue& source, const std::string& stream, absl::Time now);

    options m_options;
    queue m_control;
    queue m_claims;
};

} // namespace chivedeal::state

#endif
