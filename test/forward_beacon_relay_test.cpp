#include "chivedeal/forward/beacon_relay.hpp"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

#include <map>
#include <set>
#include <vector>

namespace chivedeal::forward {
namespace {

address make_address(int number)
{
    return {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(number)};
}

std::map<node_id, node_beacon> make_peers(int nodes_per_region)
{
    std::map<node_id, node_beacon> peers;
    for (int i = 0; i < 3 * nodes_per_region; ++i) {
        const node_id node(absl::StrCat("n", i));
        peers[node] = {.node = node,
                       .peer_address = make_address(1000 + i),
                       .region = region_id(absl::StrCat("r", i / nodes_per_region))};
    }
    return peers;
}

std::vector<const node_beacon*> all_of(const std::map<node_id, node_beacon>& peers)
{
    std::vector<const node_beacon*> all;
    for (const auto& [node, peer] : peers)
        all.push_back(&peer);
    return all;
}

beacon_relay make_relay() { return beacon_relay({.region = region_id("r0")}); }

TEST(beacon_relay, sends_directly_to_all_nodes_when_there_are_few)
{
    beacon_relay relay = make_relay();
    EXPECT_FALSE(relay.should_relay(8));
    EXPECT_TRUE(relay.should_relay(88));
    const auto peers = make_peers(3);
    const auto targets = relay.cross_region_targets(all_of(peers), true);
    EXPECT_EQ(targets.direct.size(), 6U);
    EXPECT_TRUE(targets.relays.empty());
}

// Guards against traffic between regions that grows with the square of the number of nodes: with 89
// nodes, beacons to all nodes of other regions took 0.25 to 0.45 GB per minute.
TEST(beacon_relay, selects_one_relay_per_other_region_in_rotation)
{
    beacon_relay relay = make_relay();
    const auto peers = make_peers(30);
    const auto first = relay.cross_region_targets(all_of(peers), false);
    EXPECT_TRUE(first.direct.empty());
    EXPECT_EQ(first.relays.size(), 2U);
    const auto second = relay.cross_region_targets(all_of(peers), false);
    EXPECT_NE(first.relays, second.relays);
    EXPECT_EQ(relay.cross_region_targets(all_of(peers), true).direct.size(), 60U);
}

// The lease holder reports usage and orders endpoints for all nodes; it must not depend on relays.
TEST(beacon_relay, sends_directly_to_the_lease_holder)
{
    beacon_relay relay = make_relay();
    auto peers = make_peers(30);
    peers[node_id("n40")].lease_token = 3;
    peers[node_id("n70")].lease_token = 8;
    EXPECT_EQ(relay.cross_region_targets(all_of(peers), false).direct,
              std::vector<address>{make_address(1070)});
}

// Guards against relay loops: a relayed beacon that still asks for relaying would circulate
// forever.
TEST(beacon_relay, relays_a_beacon_once)
{
    beacon_relay relay = make_relay();
    relay.enqueue({.node = node_id("n40"), .relay_in_region = true});
    const auto pending = relay.take_pending();
    ASSERT_EQ(pending.size(), 1U);
    EXPECT_FALSE(pending[0].relay_in_region);
    EXPECT_TRUE(relay.take_pending().empty());
}

// Guards against a burst of datagrams to nodes that no longer exist: each beacon of every
// node was sent to all of them.
TEST(beacon_relay, limits_candidates_per_beacon_and_reaches_every_candidate)
{
    beacon_relay relay = make_relay();
    std::set<address> candidates;
    for (int i = 0; i < 50; ++i)
        candidates.insert(make_address(2000 + i));
    std::set<address> contacted;
    for (int i = 0; i < 4; ++i) {
        const auto next = relay.next_candidates(candidates);
        EXPECT_LE(next.size(), 16U);
        contacted.insert(next.begin(), next.end());
    }
    EXPECT_EQ(contacted, candidates);
}

} // namespace
} // namespace chivedeal::forward
