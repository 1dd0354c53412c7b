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
    held.last_asked = now;
    const int priority = std::clamp(request.priority, 0, 9);
    const double room = m_options.max_open * (1 - m_options.priority_step * priority);
    const bool below_share = held.open < fair_share(request.workspace, room, now);
    const double limit = below_share ? room : room * (1 - m_options.reserve);
    if (m_open + 1 > limit && is_enabled(mechanism::priority_shedding))
        return error{.code = result_code::shed,
                     .message = absl::StrCat("the node has ", m_open, " open requests; priority ",
                                             priority, " of workspace '", request.workspace.str(),
                                             "' may fill it to ", static_cast<int>(limit),
                                             "; send again later or to another node")};
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
            name == workspace || now - held.last_asked < m_options.demand_window;
        claims.push_back({.per_weight = wants_more ? std::numeric_limits<double>::infinity()
                                                   : static_cast<double>(held.open) / held.weight,
                          .weight = held.weight});
        weights += held.weight;
    }
    // One more claimant stands for a workspace that has not asked yet; without it the active ones
    // could fill the whole node within their shares.
    const double newcomer = std::max(1.0, weights * m_options.reserve / (1 - m_options.reserve));
    claims.push_back({.per_weight = std::numeric_limits<double>::infinity(), .weight = newcomer});
    weights += newcomer;
    std::sort(claims.begin(), claims.end(),
              [](const claim& a, const claim& b) { return a.per_weight < b.per_weight; });
    double left = room;
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
        return entry.second.open == 0 && now - entry.second.last_asked >= m_options.demand_window;
    });
}

} // namespace chivedeal::requests
