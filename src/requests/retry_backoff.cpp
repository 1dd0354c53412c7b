#include "chivedeal/requests/retry_backoff.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace chivedeal::requests {

retry_backoff::retry_backoff() : retry_backoff(options{}) {}

retry_backoff::retry_backoff(options tunables) : m_options(tunables) {}

absl::Duration retry_backoff::delay(const request_id& request, int failed_attempt) const
{
    // Larger exponents exceed any cap and would overflow the duration.
    const int doublings = std::clamp(failed_attempt - 1, 0, 30);
    const absl::Duration max_delay =
        std::min(m_options.cap, m_options.base * std::exp2(static_cast<double>(doublings)));
    const std::uint64_t hash = XXH3_64bits_withSeed(request.str().data(), request.str().size(),
                                                    static_cast<std::uint64_t>(failed_attempt));
    const double fraction = std::ldexp(static_cast<double>(hash >> 11), -53);
    return max_delay * (0.5 + 0.5 * fraction);
}

} // namespace chivedeal::requests
