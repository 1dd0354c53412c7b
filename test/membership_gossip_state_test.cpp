#include "chivedeal/membership/gossip_state.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "fakes/gossip_network.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace chivedeal;
using namespace chivedeal::membership;
using fakes::gossip_network;

namespace {

node_status status_at(const gossip_network& network, std::size_t viewer, std::size_t node)
{
    const auto view = network.state(viewer).view();
    for (const node_record& record : view->nodes)
        if (record.id == network.record_of(node).id)
            return record.status;
    return node_status::dead;
}

bool all_hold(const gossip_network& network, node_status wanted)
{
    for (std::size_t viewer = 0; viewer < network.size(); ++viewer)
        for (std::size_t node = 0; node < network.size(); ++node)
            if (status_at(network, viewer, node) != wanted)
                return false;
    return true;
}

bool same_views(const gossip_network& network)
{
    const auto first = network.state(0).view();
    for (std::size_t i = 1; i < network.size(); ++i) {
        const auto other = network.state(i).view();
        if (other->nodes != first->nodes || other->endpoints != first->endpoints ||
            other->bad_versions != first->bad_versions)
            return false;
    }
    return true;
}

std::size_t count_knowing(const gossip_network& network, std::size_t facts)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < network.size(); ++i)
        count += network.state(i).fact_count() >= facts ? 1U : 0U;
    return count;
}

local_fact bad_version(int number)
{
    return {version_bad{.service = service_id("chat"),
                        .version = version_id("v" + std::to_string(number)),
                        .declared_offset = 7,
                        .reason = "errors"}};
}

} // namespace

// Guards against a fact that waits for rounds: the design bounds it to 2 s, in virtual time.
TEST(gossip_state, spreads_a_fact_to_all_nodes_within_two_seconds)
{
    for (const std::size_t nodes : {9U, 60U}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            gossip_network network({.nodes = nodes, .seed = seed});
            network.run_for(absl::Seconds(60));
            network.deliver(seed % nodes, bad_version(1));
            network.run_for(absl::Seconds(2));
            EXPECT_EQ(count_knowing(network, 1), nodes) << "seed " << seed;
        }
    }
}

// Guards against a paused node that stays dead after it runs again.
TEST(gossip_state, takes_a_resumed_node_back)
{
    gossip_network network({.nodes = 9});
    network.run_for(absl::Seconds(20));
    network.pause(4);
    network.run_for(absl::Seconds(60));
    EXPECT_EQ(status_at(network, 0, 4), node_status::dead);
    network.resume(4);
    network.run_for(absl::Seconds(30));
    EXPECT_TRUE(all_hold(network, node_status::alive));
}

// Guards against a healed partition in which each side declares the other dead for good.
TEST(gossip_state, joins_again_after_an_hour_of_partition)
{
    gossip_network network({.nodes = 12});
    network.run_for(absl::Seconds(30));
    for (std::size_t i = 0; i < 6; ++i)
        network.set_side(i, 1);
    network.deliver(0, bad_version(1));
    network.deliver(9, bad_version(2));
    network.run_for(absl::Hours(1));
    EXPECT_EQ(status_at(network, 0, 9), node_status::dead);
    network.heal();
    network.run_for(absl::Seconds(120));
    EXPECT_TRUE(all_hold(network, node_status::alive));
    EXPECT_EQ(count_knowing(network, 2), 12U);
}

// Guards against a slow node that is declared dead while its own exchanges arrive.
TEST(gossip_state, does_not_kill_a_node_that_is_heard)
{
    const auto now = absl::FromUnixSeconds(1000);
    const node_record peer{
        .id = node_id("slow"), .rpc = {.host = "10.0.0.2", .port = 1}, .incarnation = 1};
    gossip_state state({.self = {.id = node_id("self"), .rpc = {.host = "10.0.0.1", .port = 1}}});
    const auto hear = [&](absl::Time at) {
        state.handle(exchange_received{.message = {.sender = peer}}, at);
    };
    hear(now);
    for (int second = 1; second < 120; ++second) {
        const absl::Time at = now + absl::Seconds(second);
        state.handle(gossip_tick{}, at);
        state.handle(exchange_failed{peer.rpc}, at);
        state.handle(probe_finished{peer.id, false}, at + absl::Milliseconds(100));
        hear(at + absl::Milliseconds(200));
        EXPECT_NE(state.view()->nodes[1].status, node_status::dead) << second;
    }
}

// Guards against tombstones that fill the memory, and against stale reports that renew them.
TEST(gossip_state, forgets_a_dead_node_after_the_tombstone_time)
{
    gossip_network network({.nodes = 4});
    network.run_for(absl::Seconds(20));
    network.pause(3);
    network.run_for(absl::Hours(7));
    EXPECT_EQ(network.state(0).view()->nodes.size(), 3U);
}

// Guards against a clock difference that makes a reclaim time wrong on another node.
TEST(gossip_state, sends_the_reclaim_time_as_time_left)
{
    const auto now = absl::FromUnixSeconds(1000);
    gossip_state state({.self = {.id = node_id("self")}});
    state.handle(instances_listed{{{.id = endpoint_id("i1")}}}, now);
    state.handle(
        local_fact{endpoint_leaving{.endpoint = endpoint_id("i1"), .remaining = absl::Seconds(30)}},
        now);
    EXPECT_EQ(state.view()->endpoints[0].reclaim_at, now + absl::Seconds(30));
    const auto commands =
        state.handle(exchange_received{.message = {.sender = {.id = node_id("peer")}}, .reply = 3},
                     now + absl::Seconds(10));
    const auto answer = std::ranges::find_if(commands, [](const gossip_command& command) {
        return std::holds_alternative<answer_exchange>(command);
    });
    ASSERT_NE(answer, commands.end());
    const fact wanted =
        endpoint_leaving{.endpoint = endpoint_id("i1"), .remaining = absl::Seconds(20)};
    EXPECT_EQ(std::get<answer_exchange>(*answer).message.facts, std::vector{wanted});
}

// Guards against an older demand or outcome count that replaces a newer one.
TEST(gossip_state, replaces_demand_and_outcomes_only_by_newer_ones)
{
    const auto now = absl::FromUnixSeconds(1000);
    const node_id peer("peer");
    gossip_state state({.self = {.id = node_id("self")}});
    const auto hear = [&](std::uint64_t sequence, double rate) {
        gossip_message message{.sender = {.id = peer}};
        message.demand = {{peer, workspace_id("w"), sequence, rate, 1}};
        message.outcomes = {{sequence, {.node = peer, .requests = sequence}}};
        state.handle(exchange_answered{message}, now);
    };
    hear(5, 50);
    hear(4, 40);
    EXPECT_EQ(state.view()->demand.at(workspace_id("w")).at(peer), 50);
    EXPECT_EQ(state.view()->outcomes[0].requests, 5U);
    hear(6, 60);
    EXPECT_EQ(state.view()->demand.at(workspace_id("w")).at(peer), 60);
    EXPECT_EQ(state.view()->outcomes[0].requests, 6U);
}

// Guards against a drained node that peers go on naming to callers.
TEST(gossip_state, announces_its_leaving_at_once)
{
    gossip_network network({.nodes = 9});
    network.run_for(absl::Seconds(30));
    network.deliver(2, local_leaving{});
    network.run_for(absl::Seconds(5));
    for (std::size_t viewer = 0; viewer < 9; ++viewer)
        EXPECT_EQ(status_at(network, viewer, 2), node_status::leaving);
}

// Guards against views that differ for good, live nodes that stay dead and facts that revert,
// under any mix of loss, delay, reordering, pauses and partitions.
RC_GTEST_PROP(gossip_state, converges_after_faults, ())
{
    const auto nodes = *rc::gen::inRange<std::size_t>(2, 10);
    gossip_network network({.nodes = nodes,
                            .seed = *rc::gen::arbitrary<std::uint32_t>(),
                            .loss = *rc::gen::inRange(0, 50) / 100.0,
                            .max_delay = absl::Milliseconds(*rc::gen::inRange(1, 2000))});
    std::vector<std::size_t> known(nodes, 0);
    std::size_t published = 0;
    const auto steps = *rc::gen::inRange(1, 20);
    for (int step = 0; step < steps; ++step) {
        const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            network.pause(node);
            break;
        case 1:
            network.resume(node);
            break;
        case 2:
            network.set_side(node, *rc::gen::inRange(0, 2));
            break;
        case 3:
            network.deliver(node, bad_version(static_cast<int>(++published)));
            break;
        default:
            network.run_for(absl::Seconds(*rc::gen::inRange(1, 60)));
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            RC_ASSERT(network.state(i).fact_count() >= known[i]);
            known[i] = network.state(i).fact_count();
        }
    }
    network.heal();
    for (std::size_t i = 0; i < nodes; ++i) {
        network.resume(i);
    }
    network.run_for(absl::Seconds(180));
    RC_ASSERT(all_hold(network, node_status::alive));
    RC_ASSERT(count_knowing(network, published) == nodes);
    RC_ASSERT(same_views(network));
}
