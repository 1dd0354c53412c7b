#ifndef CHIVEDEAL_FORWARD_DUTY_API_HPP
#define CHIVEDEAL_FORWARD_DUTY_API_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/duty_fence.hpp"
#include "chivedeal/forward/fleet_order.hpp"
#include "chivedeal/forward/usage_report.hpp"

namespace chivedeal::forward {

/// Calls to the platform that one node at a time makes. They block for a bounded time.
///
/// Errors: `stale_fence` when a higher token was seen, `start_refused` when no endpoint is to be
/// had, `rate_limited`, `io_error` when nothing was done, `outcome_unknown` when no answer came.
class duty_api
{
public:
    virtual ~duty_api() = default;

    virtual status report_usage(const usage_report& report, const duty_fence& fence) = 0;
    virtual status order_endpoints(const fleet_order& order, const duty_fence& fence) = 0;
    /// Ends a call under way from another thread; later calls fail.
    virtual void stop() = 0;
};

} // namespace chivedeal::forward

#endif
