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

// Nodes that learn of each other's demand one gossip round late.
class nodes
{
public:
    nodes(std::size_t count, const std::shared_ptr<const state::cluster_state>& state)
        : m_limiters(count)
    {
        for (workspace_limiter& each : m_limiters)
            each.on_state(state);
    }

    workspace_limiter& operator[](std::size_t number) { return m_limiters[number]; }

    absl::Time now() const { return start + static_cast<int>(m_history.size()) * step; }

    // Lets a step pass.
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
        const std::size_t late = std::min<std::size_t>(m_history.size(), round_steps);
        membership::membership_view seen = m_history[m_history.size() - late];
        for (std::size_t i = 0; i < m_limiters.size(); ++i) {
            seen.self = node(i);
            m_limiters[i].on_view(std::make_shared<const membership::membership_view>(seen), now());
        }
    }

private:
    std::vector<workspace_limiter> m_limiters;
    std::vector<membership::membership_view> m_history;
};

// Requests that one node gets and when they begin.
struct source
{
    int begin_step = 0;
    int per_step = 0;
};

int admit_all(nodes& cluster, const std::vector<source>& sources, int steps)
{
    int admitted = 0;
    for (int at = 0; at < steps; ++at) {
        for (std::size_t i = 0; i < sources.size(); ++i)
            for (int j = 0; at >= sources[i].begin_step && j < sources[i].per_step; ++j)
                if (is_ok(cluster[i].admit(workspace, cluster.now()))) {
                    ++admitted;
                    cluster[i].finished(workspace);
                }
        cluster.gossip();
    }
    return admitted;
}

} // namespace

// Guards against an overshoot beyond the documented bound: one gossip round of the rate, and a part
// of the burst or one request, for each node whose demand the others do not know yet.
RC_GTEST_PROP(workspace_limiter, overshoot_is_one_gossip_round_a_node, ())
{
    const auto sources = *rc::gen::resize(
        12, rc::gen::nonEmpty(rc::gen::container<std::vector<source>>(
                rc::gen::build<source>(rc::gen::set(&source::begin_step, rc::gen::inRange(0, 200)),
                                       rc::gen::set(&source::per_step, rc::gen::inRange(1, 6))))));
    const double rate = *rc::gen::inRange(1, 40);
    const double burst = *rc::gen::inRange(1, 60);
    constexpr int steps = 400;
    nodes cluster(sources.size(), declared(rate, burst, 1'000'000));
    const int admitted = admit_all(cluster, sources, steps);
    const double seconds = absl::ToDoubleSeconds(steps * step);
    const double bound =
        rate * seconds + burst + burst + static_cast<double>(sources.size()) * (rate * 1.0 + 1);
    RC_ASSERT(admitted <= bound);
}

// Guards against a limit that is not used up: with steady demand the workspace gets its rate.
RC_GTEST_PROP(workspace_limiter, steady_demand_gets_the_rate, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 10);
    nodes cluster(count, declared(20, 20, 1'000'000));
    const int admitted = admit_all(cluster, std::vector<source>(count, {.per_step = 3}), 400);
    RC_ASSERT(admitted >= 0.9 * 20 * 20);
}

// Guards against idle nodes that take a part of the rate from the busy one.
RC_GTEST_PROP(workspace_limiter, idle_nodes_change_nothing, ())
{
    const auto idle = *rc::gen::inRange<std::size_t>(1, 30);
    nodes cluster(1 + idle, declared(20, 1, 1'000'000));
    nodes alone(1, declared(20, 1, 1'000'000));
    const std::vector<source> one = {{.per_step = 3}};
    RC_ASSERT(admit_all(cluster, one, 200) >= admit_all(alone, one, 200));
}

// Guards against demand of a dead node that is set aside for ever, and against a suspected node's
// share that is spent while it may still run.
TEST(workspace_limiter, only_a_dead_node_gives_up_its_share)
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
                    limiter.finished(workspace);
                }
        }
        return admitted;
    };
    EXPECT_GE(admitted_beside(membership::node_status::dead), 380);
    EXPECT_LE(admitted_beside(membership::node_status::alive), 210);
    EXPECT_EQ(admitted_beside(membership::node_status::suspect),
              admitted_beside(membership::node_status::alive));
}

// Guards against a wait that is too short: who waits as told is admitted.
RC_GTEST_PROP(workspace_limiter, the_wait_is_enough, ())
{
    const double rate = *rc::gen::inRange(1, 100);
    nodes cluster(1, declared(rate, 5, 1000));
    absl::Time now = start;
    for (int i = 0; i < 20; ++i) {
        if (!is_ok(cluster[0].admit(workspace, now))) {
            const absl::Duration wait = cluster[0].retry_after(workspace, now);
            RC_ASSERT(wait > absl::ZeroDuration());
            now += wait;
            RC_ASSERT(is_ok(cluster[0].admit(workspace, now)));
        }
        cluster[0].finished(workspace);
    }
}

// Guards against long streams beyond the workspace's concurrency over all nodes.
RC_GTEST_PROP(workspace_limiter, open_requests_keep_the_concurrency, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    const int concurrency = *rc::gen::inRange(1, 100);
    nodes cluster(count, declared(1'000'000, 1'000'000, concurrency));
    // A node takes requests only once it knows the others.
    cluster.gossip();
    int open = 0;
    for (int at = 0; at < 200; ++at) {
        for (std::size_t i = 0; i < count; ++i)
            for (int j = 0; j < 10; ++j)
                open += is_ok(cluster[i].admit(workspace, cluster.now())) ? 1 : 0;
        cluster.gossip();
    }
    // Each node may hold one request however small its share is.
    RC_ASSERT(open <= concurrency + static_cast<int>(count));
}

// Guards against a vague refusal.
TEST(workspace_limiter, refuses_by_number)
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
