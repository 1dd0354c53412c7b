#ifndef CHIVEDEAL_REQUESTS_ATTEMPT_RECORD_HPP
#define CHIVEDEAL_REQUESTS_ATTEMPT_RECORD_HPP

#include "chivedeal/membership/endpoint.hpp"

#include "absl/time/time.h"

namespace chivedeal::requests {

/// The running attempt of a request.
struct attempt_record
{
    int number = 0;
    membership::endpoint target;
    absl::Time started_at;
    /// Infinite until the first token arrives.
    absl::Time first_token_at = absl::InfiniteFuture();
    /// Load of the endpoint at the start, 0 (idle) to 3 (full).
    int load_band = 0;
    bool has_imported_kv = false;

    friend bool operator==(const attempt_record&, const attempt_record&) = default;
};

} // namespace chivedeal::requests

#endif
