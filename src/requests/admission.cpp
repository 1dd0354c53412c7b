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
    drop_idle(now);
    account& held = m_accounts[request.workspace];
    if (const auto weight = m_options.weights.find(request.workspace);
        weight != m_options.weights.end())
        held.weight = weight->second;
    const int priority = std::clamp(request.priority, 0, 9);
    const double room = m_options.max_open * (1 - m_options.priority_step * priority);
    const double share = std::max(1.0, fair_share(request.workspace, room, now));
    const bool fits = m_open + 1 <= room && held.open + 1 <= share;
    if (!fits && is_enabled(mechanism::priority_shedding)) {
        held.last_refused = now;
        return error{.code = result_code::shed,
                     .message = absl::StrCat(
                         "the node has ", m_open, " open requests, of which ", held.open,
                         " of workspace '", request.workspace.str(), "'; priority ", priority,
                         " may fill it to ", static_cast<int>(room), ", the workspace to ",
                         static_cast<int>(share), "; send again later or to another node")};
    }
    ++held.open;
    ++m_open;
    return ok_status();
}

void admission::finished(const workspace_id& workspace)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end() || found->second.open == 0)
        return;
    --found->second.open;
    --m_open;
}

// Fills up the smallest demands first and divides the rest by weight.
double admission::fair_share(const workspace_id& workspace, double room, absl::Time now) const
{
    struct claim
    {
        double per_weight = 0;
        double weight = 0;
    };
    std::vector<claim> claims;
    double weights = 0;
    for (const auto& [name, held] : m_accounts) {
        const bool wants_more =
            name == workspace || now - held.last_refused < m_options.demand_window;
        claims.push_back({.per_weight = wants_more ? std::numeric_limits<double>::infinity()
                                                   : static_cast<double>(held.open) / held.weight,
                          .weight = held.weight});
        weights += held.weight;
    }
    std::sort(claims.begin(), claims.end(),
              [](const claim& a, const claim& b) { return a.per_weight < b.per_weight; });
    double left = room * (1 - m_options.reserve);
    for (const claim& each : claims) {
        const double level = left / weights;
        if (each.per_weight >= level)
            return level * m_accounts.at(workspace).weight;
        left -= each.per_weight * each.weight;
        weights -= each.weight;
    }
    return 0;
}

void admission::drop_idle(absl::Time now)
{
    std::erase_if(m_accounts, [&](const auto& entry) {
        return entry.second.open == 0 && now - entry.second.last_refused >= m_options.demand_window;
    });
}

} // namespace chivedeal::requests
