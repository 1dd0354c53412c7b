#ifndef CHIVEDEAL_FORWARD_RECORD_STORE_HPP
#define CHIVEDEAL_FORWARD_RECORD_STORE_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/record_batch.hpp"
#include "chivedeal/forward/topic.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// Client of the platform's store. Calls block for a bounded time. Each thread uses its own client.
class record_store
{
public:
    virtual ~record_store() = default;

    /// Returns the newest record of each key; the batch is empty if the topic has no records.
    virtual result<record_batch> newest(topic from) = 0;

    /// Returns the records starting at `offset`. Waits up to `wait` for the first one.
    /// Errors: `log_unavailable`.
    virtual result<record_batch> read(topic from, std::uint64_t offset, absl::Duration wait) = 0;

    /// Appends a record and returns its offset. With `expected_end`, appends only if the topic ends
    /// at that offset. Errors: `conflict` if it doesn't, `outcome_unknown` if no response arrived,
    /// `log_unavailable` if the record was definitely not appended.
    virtual result<std::uint64_t> append(topic to, const std::string& key, const std::string& value,
                                         std::optional<std::uint64_t> expected_end) = 0;

    /// Epoch in the store's newest answer to this client; 0 if the store sends none. It rises when
    /// the store is restored from an older copy: offsets are comparable only within an epoch.
    virtual std::uint64_t epoch() const { return 0; }

    /// Cancels a call in progress on another thread. Later calls fail.
    virtual void stop() = 0;
};

} // namespace chivedeal::forward

#endif
