#ifndef CHIVEDEAL_REQUESTS_RETRY_BACKOFF_HPP
#define CHIVEDEAL_REQUESTS_RETRY_BACKOFF_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

namespace chivedeal::requests {

/// Exponential backoff for retries, with jitter that depends only on the request and attempt.
class retry_backoff
{
public:
    struct options
    {
        /// Maximum delay before the first retry.
        absl::Duration base = absl::Milliseconds(20);
        /// Maximum delay before any retry.
        absl::Duration cap = absl::Seconds(1);
    };

    retry_backoff();
    explicit retry_backoff(options tunables);

    /// Returns the delay after `failed_attempt` (counted from 1): between half and all of
    /// base x 2^(failed_attempt - 1), limited by the cap.
    absl::Duration delay(const request_id& request, int failed_attempt) const;

private:
    options m_options;
};

} // namespace chivedeal::requests

#endif
