#include "chivedeal/forward/beacon_relay.hpp"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

#include <map>
#include <set>
#include <vector>

namespace chivedeal::forward {
namespace {

address port(int number)
{
    return {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(number)};
}

std::map<node_id, node_beacon> make_peers(int each_region)
{
    std::map<node_id, node_beacon> peers;
    for (int i = 0; i < 3 * each_region; ++i) {
        const node_id node(absl::StrCat("n", i));
        peers[node] = {.node = node,
                       .peers = port(1000 + i),
                       .region = region_id(absl::StrCat("r", i / each_region))};
    }
    return peers;
}

std::vector<const node_beacon*> all_of(const std::map<node_id, node_beacon>& peers)
{
    std::vector<const node_beacon*> all;
    for (const auto& [node, one] : peers)
        all.push_back(&one);
    return all;
}

beacon_relay make_relay() { return beacon_relay({.region = region_id("r0")}); }

TEST(beacon_relay, sends_to_all_among_few_nodes)
{
    beacon_relay relay = make_relay();
    EXPECT_FALSE(relay.is_relayed(8));
    EXPECT_TRUE(relay.is_relayed(88));
    const auto peers = make_peers(3);
    const auto targets = relay.far_targets(all_of(peers), true);
    EXPECT_EQ(targets.direct.size(), 6U);
    EXPECT_TRUE(targets.relays.empty());
}

// Beacons of 89 nodes to all nodes of other regions were 0.25 to 0.45 GB in a minute.
TEST(beacon_relay, tells_one_node_of_each_other_region_in_turn)
{
    beacon_relay relay = make_relay();
    const auto peers = make_peers(30);
    const auto first = relay.far_targets(all_of(peers), false);
    EXPECT_TRUE(first.direct.empty());
    EXPECT_EQ(first.relays.size(), 2U);
    const auto second = relay.far_targets(all_of(peers), false);
    EXPECT_NE(first.relays, second.relays);
    EXPECT_EQ(relay.far_targets(all_of(peers), true).direct.size(), 60U);
}

// The holder reports usage of all nodes and orders endpoints for them.
TEST(beacon_relay, tells_the_lease_holder_itself)
{
    beacon_relay relay = make_relay();
    auto peers = make_peers(30);
    peers[node_id("n40")].lease_token = 3;
    peers[node_id("n70")].lease_token = 8;
    EXPECT_EQ(relay.far_targets(all_of(peers), false).direct, std::vector<address>{port(1070)});
}

// A beacon that is passed on again would go round for ever.
TEST(beacon_relay, passes_a_beacon_on_once)
{
    beacon_relay relay = make_relay();
    relay.pass_on({.node = node_id("n40"), .pass_on = true});
    const auto passed_on = relay.take_passed_on();
    ASSERT_EQ(passed_on.size(), 1U);
    EXPECT_FALSE(passed_on[0].pass_on);
    EXPECT_TRUE(relay.take_passed_on().empty());
}

// Nodes that are gone were greeted by all others with each beacon.
TEST(beacon_relay, greets_a_few_of_many_candidates_in_turn)
{
    beacon_relay relay = make_relay();
    std::set<address> candidates;
    for (int i = 0; i < 50; ++i)
        candidates.insert(port(2000 + i));
    std::set<address> greeted;
    for (int i = 0; i < 4; ++i) {
        const auto next = relay.next_candidates(candidates);
        EXPECT_LE(next.size(), 16U);
        greeted.insert(next.begin(), next.end());
    }
    EXPECT_EQ(greeted, candidates);
}

} // namespace
} // namespace chivedeal::forward
