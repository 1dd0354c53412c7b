#ifndef CHIVEDEAL_FAKES_CHECKING_PLATFORM_HPP
#define CHIVEDEAL_FAKES_CHECKING_PLATFORM_HPP

#include "chivedeal/forward/duty_api.hpp"
#include "chivedeal/forward/duty_fence.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include <cstdint>
#include <map>

namespace chivedeal::fakes {

/// Platform that checks the usage reports like the real one.
class checking_platform : public forward::duty_api
{
public:
    status report_usage(const forward::usage_report& report,
                        const forward::duty_fence& fence) override
    {
        if (fence.token < m_highest_token) {
            ++m_stale_calls;
            return error{.code = result_code::stale_fence, .message = "stale"};
        }
        m_highest_token = fence.token;
        const auto accepted = m_accepted.try_emplace(report.window, report);
        m_has_conflict = m_has_conflict || accepted.first->second != report;
        return ok_status();
    }
    status order_endpoints(const forward::fleet_order& /*order*/,
                           const forward::duty_fence& /*fence*/) override
    {
        return ok_status();
    }
    void stop() override {}

    const std::map<std::int64_t, forward::usage_report>& accepted() const { return m_accepted; }
    bool has_conflict() const { return m_has_conflict; }
    int stale_calls() const { return m_stale_calls; }
    std::uint64_t highest_token() const { return m_highest_token; }

private:
    std::map<std::int64_t, forward::usage_report> m_accepted;
    std::uint64_t m_highest_token = 0;
    int m_stale_calls = 0;
    bool m_has_conflict = false;
};

} // namespace chivedeal::fakes

#endif
