#ifndef CHIVEDEAL_FORWARD_CALLER_LIMITS_HPP
#define CHIVEDEAL_FORWARD_CALLER_LIMITS_HPP

#include "absl/time/time.h"

#include <cstddef>

namespace chivedeal::forward {

/// Limits on the size and timing of a caller's requests.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    /// From the first byte of a request to the end of its headers.
    absl::Duration header_timeout = absl::Seconds(3);
    /// How long a connection without a request stays open.
    absl::Duration idle_timeout = absl::Seconds(15);

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace chivedeal::forward

#endif
