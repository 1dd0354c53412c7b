#ifndef CHIVEDEAL_FORWARD_DUTY_API_HPP
#define CHIVEDEAL_FORWARD_DUTY_API_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/duty_fence.hpp"
#include "chivedeal/forward/fleet_order.hpp"
#include "chivedeal/forward/usage_report.hpp"

namespace chivedeal::forward {

/// Platform calls that only the holder of the control lease makes. Each call blocks for a bounded
/// time.
///
/// Errors: `stale_fence` if the platform has seen a higher token, `start_refused` if no endpoint is
/// available, `rate_limited`, `io_error` if the call had no effect, `outcome_unknown` if no
/// response arrived.
class duty_api
{
public:
    virtual ~duty_api() = default;

    virtual status report_usage(const usage_report& report, const duty_fence& fence) = 0;
    virtual status order_endpoints(const fleet_order& order, const duty_fence& fence) = 0;
    /// Interrupts a call in progress from another thread; later calls fail.
    virtual void stop() = 0;
};

} // namespace chivedeal::forward

#endif
