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

/// Selects the records of the next append and schedules the retry of a failed one.
///
/// A batch stays at the head of its queue until the log acknowledges it. If the answer is lost, the
/// retry has the same change IDs, so the records take effect only once.
class append_batcher
{
public:
    struct options
    {
        /// Minimum time between appends of claims; limits 9 nodes to 180 appends per second.
        absl::Duration claims_interval = absl::Milliseconds(50);
        absl::Duration first_backoff = absl::Milliseconds(100);
        absl::Duration max_backoff = absl::Seconds(2);
        /// Records older than this are dropped. By then the waiting caller has been told that the
        /// outcome is unknown.
        absl::Duration max_record_age = absl::Seconds(10);
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

    /// Returns the batch to append now, if any. Call `finished` before calling `take` again.
    std::optional<batch> take(absl::Time now);

    void finished(const batch& attempted, bool ok, absl::Time now);

    /// Returns the time until `take` may return a batch; infinite if there are no records.
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
