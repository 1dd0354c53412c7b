#ifndef CHIVEDEAL_FAKES_FAKE_DUTY_API_HPP
#define CHIVEDEAL_FAKES_FAKE_DUTY_API_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/duty_api.hpp"

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// What was reported and ordered.
struct fake_duty_calls
{
    mutex guard;
    std::vector<std::pair<forward::usage_report, forward::duty_fence>> reports;
    std::vector<forward::fleet_order> orders;

    std::size_t report_count()
    {
        const std::lock_guard<mutex> lock(guard);
        return reports.size();
    }
};

/// Accepts every call.
class fake_duty_api : public forward::duty_api
{
public:
    explicit fake_duty_api(std::shared_ptr<fake_duty_calls> calls) : m_calls(std::move(calls)) {}

    status report_usage(const forward::usage_report& report,
                        const forward::duty_fence& fence) override
    {
        const std::lock_guard<mutex> lock(m_calls->guard);
        m_calls->reports.emplace_back(report, fence);
        return ok_status();
    }

    status order_endpoints(const forward::fleet_order& order,
                           const forward::duty_fence& /*fence*/) override
    {
        const std::lock_guard<mutex> lock(m_calls->guard);
        m_calls->orders.push_back(order);
        return ok_status();
    }

    void stop() override {}

private:
    std::shared_ptr<fake_duty_calls> m_calls;
};

} // namespace chivedeal::fakes

#endif
