#ifndef CHIVEDEAL_STATE_LOG_SERVICE_HPP
#define CHIVEDEAL_STATE_LOG_SERVICE_HPP

#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {

struct log_batch;

/// The platform's append-only log. Calls block until their timeout at most.
class log_service
{
public:
    virtual ~log_service() = default;

    /// Appends `records` in order and returns the offset of the first. The records
    /// may have been appended even on error, since the answer can be lost.
    virtual result<std::uint64_t> append(const std::string& stream,
                                         const std::vector<std::string>& records) = 0;

    /// Reads at most `max` records from offset `from`; waits up to `wait` if there are none.
    virtual result<log_batch> read(const std::string& stream, std::uint64_t from, int max,
                                   absl::Duration wait) = 0;
};

} // namespace chivedeal::state

#endif
