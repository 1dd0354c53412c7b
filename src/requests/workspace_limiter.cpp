#include "chivedeal/requests/workspace_limiter.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::requests {

namespace {

// Requests per second below which a workspace counts as idle on this node. The estimate decays
// towards zero without reaching it.
constexpr double idle_demand = 1e-3;

// Absorbs rounding errors, so that a caller that waits for the reported time is admitted.
constexpr double token_tolerance = 1e-9;

} // namespace

workspace_limiter::workspace_limiter() : workspace_limiter(options{}) {}

workspace_limiter::workspace_limiter(options tunables) : m_options(tunables) {}

void workspace_limiter::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_state = std::move(state);
}

void workspace_limiter::on_view(const std::shared_ptr<const membership::membership_view>& view,
                                absl::Time /*now*/)
{
    absl::flat_hash_set<node_id> excluded;
    int alive = 1;
    for (const membership::node_record& node : view->nodes) {
        if (node.id == view->self)
            continue;
        if (node.status == membership::node_status::dead ||
            node.status == membership::node_status::leaving)
            excluded.insert(node.id);
        else
            ++alive;
    }
    m_alive_nodes = alive;
    m_remote_usage.clear();
    for (const auto& [workspace, by_node] : view->demand)
        for (const auto& [node, demand] : by_node)
            if (node != view->self && !excluded.contains(node))
                m_remote_usage[workspace].demand += std::max(0.0, demand);
    for (const auto& [workspace, by_node] : view->open_requests)
        for (const auto& [node, open] : by_node)
            if (node != view->self && !excluded.contains(node))
                m_remote_usage[workspace].open += std::max(0, open);
}

status workspace_limiter::admit(const workspace_id& workspace, absl::Time now)
{
    const state::workspace* declared = find(workspace);
    if (declared == nullptr)
        return error{.code = result_code::unknown_workspace,
                     .message = absl::StrCat("workspace '", workspace.str(), "' is not declared")};
    account& usage = update_account(*declared, now);
    if (usage.average_demand < idle_demand)
        usage.active_since = now;
    usage.average_demand += 1 / absl::ToDoubleSeconds(m_options.demand_window);
    const absl::Duration wait = wait_time(*declared, usage);
    if (wait > absl::ZeroDuration() && is_enabled(mechanism::workspace_limits))
        return error{.code = result_code::rate_limited,
                     .message = absl::StrCat(
                         "workspace '", workspace.str(), "' is over its limit; retry in ",
                         static_cast<std::int64_t>(std::ceil(absl::ToDoubleMilliseconds(wait))),
                         " ms")};
    usage.spent_tokens += 1;
    ++usage.open;
    return ok_status();
}

void workspace_limiter::release(const workspace_id& workspace)
{
    const auto it = m_accounts.find(workspace);
    if (it != m_accounts.end() && it->second.open > 0)
        --it->second.open;
}

absl::Duration workspace_limiter::retry_after(const workspace_id& workspace, absl::Time now)
{
    const state::workspace* declared = find(workspace);
    if (declared == nullptr)
        return absl::ZeroDuration();
    return wait_time(*declared, update_account(*declared, now));
}

std::map<workspace_id, double> workspace_limiter::demand(absl::Time now)
{
    std::map<workspace_id, double> all;
    if (!m_state)
        return all;
    for (const auto& [name, declared] : m_state->workspaces) {
        if (!m_accounts.contains(name))
            continue;
        const account& usage = update_account(*declared, now);
        if (usage.average_demand >= idle_demand)
            all[name] = demand_of(usage);
    }
    return all;
}

std::map<workspace_id, int> workspace_limiter::open_requests() const
{
    std::map<workspace_id, int> all;
    for (const auto& [name, usage] : m_accounts)
        if (usage.open > 0)
            all[name] = usage.open;
    return all;
}

workspace_limiter::account& workspace_limiter::update_account(const state::workspace& declared,
                                                              absl::Time now)
{
    account& usage = m_accounts[declared.name];
    if (usage.updated == absl::InfinitePast())
        usage.updated = now;
    const double elapsed_seconds = std::max(0.0, absl::ToDoubleSeconds(now - usage.updated));
    usage.spent_tokens = std::max(0.0, usage.spent_tokens - elapsed_seconds * declared.rate *
                                                                share_of(declared.name, usage));
    usage.average_demand *=
        std::exp(-elapsed_seconds / absl::ToDoubleSeconds(m_options.demand_window));
    usage.updated = std::max(usage.updated, now);
    return usage;
}

workspace_limiter::remote_usage
workspace_limiter::remote_usage_of(const workspace_id& workspace) const
{
    const auto it = m_remote_usage.find(workspace);
    return it == m_remote_usage.end() ? remote_usage{} : it->second;
}

// Corrects the average for the time before the workspace became active. Otherwise two nodes that
// become active together would each see the other's demand as lower than their own.
double workspace_limiter::demand_of(const account& usage) const
{
    const absl::Duration age = std::max(m_options.gossip_round, usage.updated - usage.active_since);
    return usage.average_demand / (1 - std::exp(-absl::FDivDuration(age, m_options.demand_window)));
}

double workspace_limiter::share_of(const workspace_id& workspace, const account& usage) const
{
    const double remote_demand = remote_usage_of(workspace).demand;
    const double local_demand = demand_of(usage);
    if (local_demand + remote_demand < idle_demand)
        return 1.0 / m_alive_nodes;
    return local_demand / (local_demand + remote_demand);
}

// The estimate settles within one gossip round and reaches the other nodes in a second one. Until
// then each newly active node would use the whole burst.
double workspace_limiter::conservative_share_of(const workspace_id& workspace,
                                                const account& usage) const
{
    const double share = share_of(workspace, usage);
    if (usage.updated - usage.active_since < 2 * m_options.gossip_round)
        return std::min(share, 1.0 / m_alive_nodes);
    return share;
}

bool workspace_limiter::is_over_concurrency(const state::workspace& declared,
                                            const account& usage) const
{
    if (usage.open + remote_usage_of(declared.name).open >= declared.concurrency)
        return true;
    const double concurrency_share =
        declared.concurrency * conservative_share_of(declared.name, usage);
    // With a share below one request a node could never admit anything.
    return usage.open >= std::max(1.0, std::floor(concurrency_share));
}

absl::Duration workspace_limiter::wait_time(const state::workspace& declared,
                                            const account& usage) const
{
    // The end of an open request is not known; the next gossip round brings new counts.
    const absl::Duration concurrency_wait =
        is_over_concurrency(declared, usage) ? m_options.gossip_round : absl::ZeroDuration();
    const double burst =
        std::max(1.0, declared.burst * conservative_share_of(declared.name, usage));
    const double missing_tokens = usage.spent_tokens + 1 - burst;
    if (missing_tokens <= token_tolerance)
        return concurrency_wait;
    const double tokens_per_second = declared.rate * share_of(declared.name, usage);
    if (tokens_per_second <= 0)
        return absl::InfiniteDuration();
    return std::max(concurrency_wait, absl::Seconds(missing_tokens / tokens_per_second));
}

const state::workspace* workspace_limiter::find(const workspace_id& workspace) const
{
    if (!m_state)
        return nullptr;
    const auto it = m_state->workspaces.find(workspace);
    return it == m_state->workspaces.end() ? nullptr : it->second.get();
}

} // namespace chivedeal::requests
