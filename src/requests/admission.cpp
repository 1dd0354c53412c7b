#include "chivedeal/requests/admission.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/requests/caller_request.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace chivedeal::requests {

admission::admission() : admission(options{}) {}

admission::admission(options tunables) : m_options(std::move(tunables)) {}

status admission::admit(const caller_request& request, absl::Time now)
{
    remove_idle_accounts(now);
    account& usage = m_accounts[request.workspace];
    if (const auto weight = m_options.weights.find(request.workspace);
        weight != m_options.weights.end())
        usage.weight = weight->second;
    const int priority = std::clamp(request.priority, 0, 9);
    const double limit = m_options.max_open * (1 - m_options.priority_step * priority);
    const double share = std::max(1.0, fair_share(request.workspace, limit, now));
    const bool fits = m_open + 1 <= limit && usage.open + 1 <= share;
    if (!fits && is_enabled(mechanism::priority_shedding)) {
        usage.last_refused = now;
        return error{.code = result_code::shed,
                     .message =
                         absl::StrCat("the node has ", m_open, " open requests, ", usage.open,
                                      " of them from workspace '", request.workspace.str(),
                                      "'; priority ", priority, " is limited to ",
                                      static_cast<int>(limit), " and the workspace to ",
                                      static_cast<int>(share), "; retry later or on another node")};
    }
    ++usage.open;
    ++m_open;
    return ok_status();
}

void admission::release(const workspace_id& workspace)
{
    const auto it = m_accounts.find(workspace);
    if (it == m_accounts.end() || it->second.open == 0)
        return;
    --it->second.open;
    --m_open;
}

// Satisfies the smallest demands first and divides the remaining capacity by weight.
double admission::fair_share(const workspace_id& workspace, double limit, absl::Time now) const
{
    struct demand
    {
        double per_weight = 0;
        double weight = 0;
    };
    std::vector<demand> demands;
    double total_weight = 0;
    for (const auto& [name, usage] : m_accounts) {
        const bool has_unmet_demand =
            name == workspace || now - usage.last_refused < m_options.demand_window;
        demands.push_back({.per_weight = has_unmet_demand
                                             ? std::numeric_limits<double>::infinity()
                                             : static_cast<double>(usage.open) / usage.weight,
                           .weight = usage.weight});
        total_weight += usage.weight;
    }
    std::sort(demands.begin(), demands.end(),
              [](const demand& a, const demand& b) { return a.per_weight < b.per_weight; });
    double remaining = limit * (1 - m_options.reserve);
    for (const demand& entry : demands) {
        const double share_per_weight = remaining / total_weight;
        if (entry.per_weight >= share_per_weight)
            return share_per_weight * m_accounts.at(workspace).weight;
        remaining -= entry.per_weight * entry.weight;
        total_weight -= entry.weight;
    }
    return 0;
}

void admission::remove_idle_accounts(absl::Time now)
{
    std::erase_if(m_accounts, [&](const auto& entry) {
        return entry.second.open == 0 && now - entry.second.last_refused >= m_options.demand_window;
    });
}

} // namespace chivedeal::requests
