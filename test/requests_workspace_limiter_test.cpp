#include "chivedeal/requests/workspace_limiter.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

const workspace_id workspace("w");
const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration step = absl::Milliseconds(50);
constexpr int round_steps = 20;

std::shared_ptr<const state::cluster_state> declared(double rate, double burst, int concurrency)
{
    state::cluster_state state;
    state.workspaces[workspace] = std::make_shared<const state::workspace>(state::workspace{
        .name = workspace, .rate = rate, .burst = burst, .concurrency = concurrency});
    return std::make_shared<const state::cluster_state>(state);
}

node_id node(std::size_t number) { return node_id("n" + std::to_string(number)); }

// Nodes that see each other's demand with a delay of one gossip round.
class simulated_cluster
{
public:
    simulated_cluster(std::size_t count, const std::shared_ptr<const state::cluster_state>& state)
        : m_limiters(count)
    {
        for (workspace_limiter& limiter : m_limiters)
            limiter.on_state(state);
    }

    workspace_limiter& operator[](std::size_t number) { return m_limiters[number]; }

    absl::Time now() const { return start + static_cast<int>(m_history.size()) * step; }

    // Publishes the demand of all nodes and advances the time by one step.
    void gossip()
    {
        membership::membership_view published;
        for (std::size_t i = 0; i < m_limiters.size(); ++i) {
            published.nodes.push_back({.id = node(i)});
            for (const auto& [name, demand] : m_limiters[i].demand(now()))
                published.demand[name][node(i)] = demand;
            for (const auto& [name, open] : m_limiters[i].open_requests())
                published.open_requests[name][node(i)] = open;
        }
        m_history.push_back(published);
        const std::size_t delay_steps = std::min<std::size_t>(m_history.size(), round_steps);
        membership::membership_view seen = m_history[m_history.size() - delay_steps];
        for (std::size_t i = 0; i < m_limiters.size(); ++i) {
            seen.self = node(i);
            m_limiters[i].on_view(std::make_shared<const membership::membership_view>(seen), now());
        }
    }

private:
    std::vector<workspace_limiter> m_limiters;
    std::vector<membership::membership_view> m_history;
};

// The requests that arrive at one node: the first step and the number per step.
struct arrivals
{
    int begin_step = 0;
    int per_step = 0;
};

int admit_all(simulated_cluster& cluster, const std::vector<arrivals>& sources, int steps)
{
    int admitted = 0;
    for (int at = 0; at < steps; ++at) {
        for (std::size_t i = 0; i < sources.size(); ++i)
            for (int j = 0; at >= sources[i].begin_step && j < sources[i].per_step; ++j)
                if (is_ok(cluster[i].admit(workspace, cluster.now()))) {
                    ++admitted;
                    cluster[i].release(workspace);
                }
        cluster.gossip();
    }
    return admitted;
}

} // namespace

// Guards against an overshoot beyond the documented bound: one gossip round of the rate, and a share
// of the burst or one request, for each node whose demand the others do not know yet.
RC_GTEST_PROP(workspace_limiter, overshoot_is_one_gossip_round_per_node, ())
{
    const auto sources = *rc::gen::resize(
        12, rc::gen::nonEmpty(rc::gen::container<std::vector<arrivals>>(rc::gen::build<arrivals>(
                rc::gen::set(&arrivals::begin_step, rc::gen::inRange(0, 200)),
                rc::gen::set(&arrivals::per_step, rc::gen::inRange(1, 6))))));
    const double rate = *rc::gen::inRange(1, 40);
    const double burst = *rc::gen::inRange(1, 60);
    constexpr int steps = 400;
    simulated_cluster cluster(sources.size(), declared(rate, burst, 1'000'000));
    const int admitted = admit_all(cluster, sources, steps);
    const double seconds = absl::ToDoubleSeconds(steps * step);
    const double bound =
        rate * seconds + burst + burst + static_cast<double>(sources.size()) * (rate * 1.0 + 1);
    RC_ASSERT(admitted <= bound);
}

// Guards against admitting less than the rate under steady demand.
RC_GTEST_PROP(workspace_limiter, steady_demand_gets_the_rate, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 10);
    simulated_cluster cluster(count, declared(20, 20, 1'000'000));
    const int admitted = admit_all(cluster, std::vector<arrivals>(count, {.per_step = 3}), 400);
    RC_ASSERT(admitted >= 0.9 * 20 * 20);
}

// Guards against idle nodes that reduce the share of a busy node.
RC_GTEST_PROP(workspace_limiter, idle_nodes_do_not_reduce_admissions, ())
{
    const auto idle = *rc::gen::inRange<std::size_t>(1, 30);
    simulated_cluster cluster(1 + idle, declared(20, 1, 1'000'000));
    simulated_cluster single(1, declared(20, 1, 1'000'000));
    const std::vector<arrivals> busy = {{.per_step = 3}};
    RC_ASSERT(admit_all(cluster, busy, 200) >= admit_all(single, busy, 200));
}

// Guards against reserving a share for a dead node, and against using the share of a suspected node,
// which may still be running.
TEST(workspace_limiter, only_dead_nodes_release_their_share)
{
    const auto admitted_beside = [](membership::node_status other) {
        workspace_limiter limiter;
        limiter.on_state(declared(20, 1, 1000));
        membership::membership_view view;
        view.self = node(0);
        view.nodes = {{.id = node(1), .status = other}};
        view.demand[workspace][node(1)] = 60;
        int admitted = 0;
        for (int at = 0; at < 400; ++at) {
            limiter.on_view(std::make_shared<const membership::membership_view>(view),
                            start + at * step);
            for (int i = 0; i < 3; ++i)
                if (is_ok(limiter.admit(workspace, start + at * step))) {
                    ++admitted;
                    limiter.release(workspace);
                }
        }
        return admitted;
    };
    EXPECT_GE(admitted_beside(membership::node_status::dead), 380);
    EXPECT_LE(admitted_beside(membership::node_status::alive), 210);
    EXPECT_EQ(admitted_beside(membership::node_status::suspect),
              admitted_beside(membership::node_status::alive));
}

// Guards against a reported wait after which the caller is refused again.
RC_GTEST_PROP(workspace_limiter, admits_after_the_reported_wait, ())
{
    const double rate = *rc::gen::inRange(1, 100);
    simulated_cluster cluster(1, declared(rate, 5, 1000));
    absl::Time now = start;
    for (int i = 0; i < 20; ++i) {
        if (!is_ok(cluster[0].admit(workspace, now))) {
            const absl::Duration wait = cluster[0].retry_after(workspace, now);
            RC_ASSERT(wait > absl::ZeroDuration());
            now += wait;
            RC_ASSERT(is_ok(cluster[0].admit(workspace, now)));
        }
        cluster[0].release(workspace);
    }
}

// Guards against more open requests on all nodes together than the workspace's concurrency.
RC_GTEST_PROP(workspace_limiter, open_requests_stay_within_concurrency, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    const int concurrency = *rc::gen::inRange(1, 100);
    simulated_cluster cluster(count, declared(1'000'000, 1'000'000, concurrency));
    // A node accepts requests only once it knows the others.
    cluster.gossip();
    int open = 0;
    for (int at = 0; at < 200; ++at) {
        for (std::size_t i = 0; i < count; ++i)
            for (int j = 0; j < 10; ++j)
                open += is_ok(cluster[i].admit(workspace, cluster.now())) ? 1 : 0;
        cluster.gossip();
    }
    // Each node may hold one request, however small its share is.
    RC_ASSERT(open <= concurrency + static_cast<int>(count));
}

// Guards against a refusal without a result code or a wait.
TEST(workspace_limiter, refuses_with_result_code)
{
    workspace_limiter limiter;
    EXPECT_EQ(get_error(limiter.admit(workspace, start)).code, result_code::unknown_workspace);
    limiter.on_state(declared(1, 1, 10));
    EXPECT_TRUE(is_ok(limiter.admit(workspace, start)));
    const status refused = limiter.admit(workspace, start);
    EXPECT_EQ(get_error(refused),
              (error{.code = result_code::rate_limited,
                     .message = "workspace 'w' is over its limit; retry in 1000 ms"}));
}
