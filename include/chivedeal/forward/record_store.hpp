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

/// The platform's store. Calls block for a bounded time; each thread has a store of its own.
class record_store
{
public:
    virtual ~record_store() = default;

    /// Returns the newest record of each key. A topic without records gives none.
    virtual result<record_batch> newest(topic from) = 0;

    /// Returns the records from `offset` on; waits at most `wait` for the first one.
    /// Errors: `log_unavailable`.
    virtual result<record_batch> read(topic from, std::uint64_t offset, absl::Duration wait) = 0;

    /// Appends a record and returns its offset. With `expected_end`, only if the topic ends there.
    /// Errors: `conflict` when it doesn't, `outcome_unknown` when no answer came,
    /// `log_unavailable` when certainly nothing was appended.
    virtual result<std::uint64_t> append(topic to, const std::string& key, const std::string& value,
                                         std::optional<std::uint64_t> expected_end) = 0;

    /// Ends a call under way from another thread; later calls fail.
    virtual void stop() = 0;
};

} // namespace chivedeal::forward

#endif
