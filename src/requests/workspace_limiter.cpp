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

// Below this demand, in requests a second, a workspace counts as idle here; an estimate decays
// towards zero without reaching it.
constexpr double idle_demand = 1e-3;

// Absorbs rounding, so that a wait that was waited out is enough.
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
    absl::flat_hash_set<node_id> gone;
    int alive = 1;
    for (const membership::node_record& node : view->nodes) {
        if (node.id == view->self)
            continue;
        if (node.status == membership::node_status::dead ||
            node.status == membership::node_status::leaving)
            gone.insert(node.id);
        else
            ++alive;
    }
    m_alive_nodes = alive;
    m_others.clear();
    for (const auto& [workspace, by_node] : view->demand)
        for (const auto& [node, demand] : by_node)
            if (node != view->self && !gone.contains(node))
                m_others[workspace].demand += std::max(0.0, demand);
    for (const auto& [workspace, by_node] : view->open_requests)
        for (const auto& [node, open] : by_node)
            if (node != view->self && !gone.contains(node))
                m_others[workspace].open += std::max(0, open);
}

status workspace_limiter::admit(const workspace_id& workspace, absl::Time now)
{
    const state::workspace* declared = find(workspace);
    if (declared == nullptr)
        return error{.code = result_code::unknown_workspace,
                     .message = absl::StrCat("workspace '", workspace.str(), "' is not declared")};
    account& held = bring_up_to_date(*declared, now);
    if (held.own_demand < idle_demand)
        held.active_since = now;
    held.own_demand += 1 / absl::ToDoubleSeconds(m_options.demand_window);
    const absl::Duration wait = wait_of(*declared, held);
    if (wait > absl::ZeroDuration() && is_enabled(mechanism::workspace_limits))
        return error{.code = result_code::rate_limited,
                     .message = absl::StrCat(
                         "workspace '", workspace.str(), "' is over its limit; retry in ",
                         static_cast<std::int64_t>(std::ceil(absl::ToDoubleMilliseconds(wait))),
                         " ms")};
    held.spent += 1;
    ++held.open;
    return ok_status();
}

void workspace_limiter::finished(const workspace_id& workspace)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end() && found->second.open > 0)
        --found->second.open;
}

absl::Duration workspace_limiter::retry_after(const workspace_id& workspace, absl::Time now)
{
    const state::workspace* declared = find(workspace);
    if (declared == nullptr)
        return absl::ZeroDuration();
    return wait_of(*declared, bring_up_to_date(*declared, now));
}

std::map<workspace_id, double> workspace_limiter::demand(absl::Time now)
{
    std::map<workspace_id, double> all;
    if (!m_state)
        return all;
    for (const auto& [name, declared] : m_state->workspaces) {
        if (!m_accounts.contains(name))
            continue;
        const account& held = bring_up_to_date(*declared, now);
        if (held.own_demand >= idle_demand)
            all[name] = demand_of(held);
    }
    return all;
}

std::map<workspace_id, int> workspace_limiter::open_requests() const
{
    std::map<workspace_id, int> all;
    for (const auto& [name, held] : m_accounts)
        if (held.open > 0)
            all[name] = held.open;
    return all;
}

workspace_limiter::account& workspace_limiter::bring_up_to_date(const state::workspace& declared,
                                                                absl::Time now)
{
    account& held = m_accounts[declared.name];
    if (held.updated == absl::InfinitePast())
        held.updated = now;
    const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - held.updated));
    held.spent =
        std::max(0.0, held.spent - elapsed * declared.rate * share_of(declared.name, held));
    held.own_demand *= std::exp(-elapsed / absl::ToDoubleSeconds(m_options.demand_window));
    held.updated = std::max(held.updated, now);
    return held;
}

workspace_limiter::others workspace_limiter::others_of(const workspace_id& workspace) const
{
    const auto found = m_others.find(workspace);
    return found == m_others.end() ? others{} : found->second;
}

// Corrects the average for the time before the workspace became active. Without it two nodes that
// begin together would each take the other's demand for lower than their own.
double workspace_limiter::demand_of(const account& held) const
{
    const absl::Duration age = std::max(m_options.gossip_round, held.updated - held.active_since);
    return held.own_demand / (1 - std::exp(-absl::FDivDuration(age, m_options.demand_window)));
}

double workspace_limiter::share_of(const workspace_id& workspace, const account& held) const
{
    const double elsewhere = others_of(workspace).demand;
    const double own = demand_of(held);
    if (own + elsewhere < idle_demand)
        return 1.0 / m_alive_nodes;
    return own / (own + elsewhere);
}

// The estimate settles in one round and reaches the others in a second one. Until then each node
// that has just become busy would spend the whole burst.
double workspace_limiter::cautious_share_of(const workspace_id& workspace,
                                            const account& held) const
{
    const double share = share_of(workspace, held);
    if (held.updated - held.active_since < 2 * m_options.gossip_round)
        return std::min(share, 1.0 / m_alive_nodes);
    return share;
}

bool workspace_limiter::is_over_concurrency(const state::workspace& declared,
                                            const account& held) const
{
    if (held.open + others_of(declared.name).open >= declared.concurrency)
        return true;
    const double part = declared.concurrency * cautious_share_of(declared.name, held);
    // With a part below one request a node could never admit anything.
    return held.open >= std::max(1.0, std::floor(part));
}

absl::Duration workspace_limiter::wait_of(const state::workspace& declared,
                                          const account& held) const
{
    // When an open request will end is not known; the next round of gossip brings new counts.
    const absl::Duration for_open =
        is_over_concurrency(declared, held) ? m_options.gossip_round : absl::ZeroDuration();
    const double burst = std::max(1.0, declared.burst * cautious_share_of(declared.name, held));
    const double missing = held.spent + 1 - burst;
    if (missing <= token_tolerance)
        return for_open;
    const double per_second = declared.rate * share_of(declared.name, held);
    if (per_second <= 0)
        return absl::InfiniteDuration();
    return std::max(for_open, absl::Seconds(missing / per_second));
}

const state::workspace* workspace_limiter::find(const workspace_id& workspace) const
{
    if (!m_state)
        return nullptr;
    const auto found = m_state->workspaces.find(workspace);
    return found == m_state->workspaces.end() ? nullptr : found->second.get();
}

} // namespace chivedeal::requests
