#ifndef CHIVEDEAL_FORWARD_RESPONSE_TIME_ESTIMATE_HPP
#define CHIVEDEAL_FORWARD_RESPONSE_TIME_ESTIMATE_HPP

#include "absl/time/time.h"

namespace chivedeal::forward {

/// Upper bound that few response times exceed: the smoothed mean plus four mean deviations, as for
/// the retransmission timeout of TCP (RFC 6298).
class response_time_estimate
{
public:
    void add(absl::Duration response_time);

    /// Infinite without any response.
    absl::Duration upper_bound() const;

private:
    bool m_has_value = false;
    absl::Duration m_mean;
    absl::Duration m_deviation;
};

} // namespace chivedeal::forward

#endif
