#include "chivedeal/forward/address_book.hpp"
#include "chivedeal/forward/clock_estimator.hpp"
#include "chivedeal/forward/control_log.hpp"
#include "chivedeal/forward/peer_codec.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/peer_table.hpp"
#include "chivedeal/forward/usage_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

node_beacon make_beacon(const char* node, std::uint64_t sequence, std::uint16_t port = 7)
{
    return {.node = node_id(node),
            .started_us = 5,
            .sequence = sequence,
            .front_address = {.host = "127.0.0.1", .port = port},
            .peer_address = {.host = "127.0.0.1", .port = port},
            .region = region_id("r1"),
            .ready = true};
}

peer_table make_table()
{
    return peer_table({.self = node_id("n1"), .self_address = {.host = "127.0.0.1", .port = 1}});
}

TEST(peer_codec, restores_a_beacon)
{
    node_beacon beacon = make_beacon("n2", 3);
    beacon.lease_token = 9;
    beacon.admitted[workspace_id("w")] = 12.5;
    beacon.quota_levels[workspace_id("w")] = -3.5;
    beacon.loads = {{endpoint_id("e1"), 2, 500, 7, 1, true}};
    beacon.relay_in_region = true;
    beacon.requested_prompt_tokens[service_id("s")] = 2;
    beacon.outcomes = {{.service = service_id("s"),
                        .target = version_id("v2"),
                        .target_bad = 4,
                        .compared_bad = 3,
                        .expected_bad_milli = 250}};
    beacon.usage = {{.window = 4, .counts = {{workspace_id("w"), 3}}}};
    beacon.suspicions = {{.part = "p1",
                          .depth = 1,
                          .crashes = {{"e1@5", absl::Milliseconds(30)}},
                          .sound_age = absl::Seconds(2),
                          .blocked_age = absl::Seconds(1),
                          .trial_age = absl::Milliseconds(40)},
                         {.part = "p2"}};
    beacon.known_peers = {{.host = "127.0.0.1", .port = 8}};
    beacon.planned_reports = {{.report = {.window = 3, .counts = {{workspace_id("w"), 1}}}}};
    beacon.decided_rollouts = {{.service = service_id("s"),
                                .target = version_id("v2"),
                                .state = rollout_state::done,
                                .order_offset = 6}};
    const auto decoded = decode_message(encode_message(beacon));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<node_beacon>(get_value(decoded)), beacon);
}

TEST(peer_codec, restores_a_relayed_batch)
{
    const relayed_batch batch{.sender = node_id("n2"),
                              .from = topic::endpoints,
                              .begin_offset = 3,
                              .end_offset = 5,
                              .complete = true,
                              .records = {{.key = "e1", .value = "{}", .offset = 4}}};
    const auto decoded = decode_message(encode_message(batch));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<relayed_batch>(get_value(decoded)), batch);
}

TEST(peer_codec, restores_a_bundle_of_beacons)
{
    const beacon_bundle bundle{.beacons = {make_beacon("n2", 3), make_beacon("n3", 4)}};
    const auto decoded = decode_message(encode_message(bundle));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<beacon_bundle>(get_value(decoded)), bundle);
}

TEST(peer_codec, restores_a_notice_of_a_prompt)
{
    const prompt_notice notice{
        .node = node_id("n2"), .endpoint = endpoint_id("e1"), .tokens = 5000};
    const auto decoded = decode_message(encode_message(notice));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<prompt_notice>(get_value(decoded)), notice);
}

// The port may receive arbitrary datagrams; none may be taken for a message or cause a crash.
RC_GTEST_PROP(peer_codec, rejects_arbitrary_bytes, (const std::string& bytes))
{
    RC_ASSERT(!is_ok(decode_message(bytes)));
}

// Guards against needless traffic between regions: with 89 nodes, usage of four windows made up
// half of the bytes.
TEST(peer_exchange, trims_beacons_for_other_regions)
{
    node_beacon beacon{.loads = {{endpoint_id("e1"), 1, 100}}};
    for (std::int64_t window = 1; window <= 4; ++window)
        beacon.usage.push_back({.window = window, .counts = {{workspace_id("w"), window}}});
    const node_beacon direct = peer_exchange::trim_for_other_regions(beacon, false);
    ASSERT_EQ(direct.usage.size(), 2U);
    EXPECT_EQ(direct.usage[0].window, 3);
    EXPECT_EQ(direct.usage[1].window, 4);
    EXPECT_EQ(direct.loads, beacon.loads);
    EXPECT_TRUE(peer_exchange::trim_for_other_regions(beacon, true).loads.empty());
    // Failing endpoints are reported to all regions.
    beacon.loads.push_back(
        {.endpoint = endpoint_id("e2"), .requests = 3, .sent_prefill_tokens = 9, .failed = 1});
    EXPECT_EQ(peer_exchange::trim_for_other_regions(beacon, true).loads,
              (std::vector<endpoint_load>{{.endpoint = endpoint_id("e2"), .failed = 1}}));
    beacon.usage.resize(1);
    EXPECT_EQ(peer_exchange::trim_for_other_regions(beacon, false).usage.size(), 1U);
}

// Guards against names that are made up in datagrams and fill the memory.
TEST(peer_table, limits_the_number_of_peers)
{
    peer_table table({.self = node_id("n1"), .max_peers = 10});
    for (std::uint16_t i = 1; i <= 100; ++i) {
        table.add_candidate({.host = "127.0.0.2", .port = i});
        (void)table.on_beacon(
            {.node = node_id(std::to_string(i)), .peer_address = {.host = "127.0.0.1", .port = i}},
            absl::UnixEpoch());
    }
    EXPECT_EQ(table.beacons().size(), 10U);
    EXPECT_EQ(table.candidates().size(), 10U);
    // A known peer is still heard.
    EXPECT_TRUE(table.on_beacon(
        {.node = node_id("1"), .sequence = 1, .peer_address = {.host = "127.0.0.1", .port = 1}},
        absl::UnixEpoch()));
}

TEST(peer_table, learns_of_nodes_from_beacons)
{
    peer_table table = make_table();
    node_beacon beacon = make_beacon("n2", 1, 2);
    beacon.known_peers = {{.host = "127.0.0.1", .port = 3}, {.host = "127.0.0.1", .port = 1}};
    const auto accepted = table.on_beacon(beacon, start);
    ASSERT_TRUE(accepted);
    EXPECT_TRUE(accepted->is_new);
    EXPECT_EQ(table.candidates(), (std::set<address>{{.host = "127.0.0.1", .port = 3}}));
}

// Datagrams may be delayed or duplicated; an old beacon must not replace a newer one.
TEST(peer_table, ignores_old_beacons)
{
    peer_table table = make_table();
    table.on_beacon(make_beacon("n2", 2), start);
    EXPECT_FALSE(table.on_beacon(make_beacon("n2", 2), start));
    EXPECT_FALSE(table.on_beacon(make_beacon("n2", 1), start));
    EXPECT_TRUE(table.on_beacon(make_beacon("n2", 3), start)->previous);
}

// Guards against relays that can't be reached: when a third of the nodes was partitioned, the
// beacons that they should have relayed were lost.
TEST(peer_table, lists_only_recently_heard_nodes)
{
    peer_table table = make_table();
    table.on_beacon(make_beacon("n2", 1, 2), start);
    table.on_beacon(make_beacon("n3", 1, 3), start + absl::Seconds(1));
    const auto heard = table.heard_within(absl::Milliseconds(500), start + absl::Seconds(1));
    ASSERT_EQ(heard.size(), 1U);
    EXPECT_EQ(heard[0]->node, node_id("n3"));
}

TEST(peer_table, treats_a_restarted_process_as_new)
{
    peer_table table = make_table();
    table.on_beacon(make_beacon("n2", 9), start);
    node_beacon restarted = make_beacon("n2", 1);
    restarted.started_us = 6;
    const auto accepted = table.on_beacon(restarted, start);
    ASSERT_TRUE(accepted);
    EXPECT_TRUE(accepted->is_new);
    EXPECT_FALSE(accepted->previous);
}

TEST(peer_table, makes_a_silent_node_a_candidate_again)
{
    peer_table table = make_table();
    table.on_beacon(make_beacon("n2", 1), start);
    EXPECT_TRUE(table.expire(start + absl::Seconds(2)).empty());
    EXPECT_EQ(table.expire(start + absl::Seconds(3)), std::vector<node_id>{node_id("n2")});
    EXPECT_EQ(table.candidates().size(), 1U);
}

// Guards against removing live nodes: two beacons in a row may be lost when their relays fail.
TEST(peer_table, expires_nodes_heard_through_relays_later)
{
    peer_table table = make_table();
    table.on_beacon(make_beacon("n2", 1), start, false);
    EXPECT_TRUE(table.expire(start + absl::Seconds(4)).empty());
    EXPECT_EQ(table.expire(start + absl::Seconds(5)).size(), 1U);
}

TEST(address_book, prefers_ready_nodes_of_the_callers_region)
{
    address_book book;
    book.on_beacon(make_beacon("n1", 1, 1));
    book.on_beacon(make_beacon("n2", 1, 2));
    node_beacon other_region = make_beacon("n3", 1, 3);
    other_region.region = region_id("r2");
    book.on_beacon(other_region);
    EXPECT_EQ(book.ready_fronts(region_id("r1"), 2).size(), 2U);
    // A single node in the caller's region would be a single point of failure.
    EXPECT_EQ(book.ready_fronts(region_id("r2"), 2).size(), 3U);
    node_beacon leaving = make_beacon("n1", 2, 1);
    leaving.leaving = true;
    book.on_beacon(leaving);
    EXPECT_EQ(book.ready_count(), 2);
}

// Guards against wall clocks that jump on a minority of machines, possibly on this one.
TEST(clock_estimator, follows_the_majority)
{
    clock_estimator clocks;
    const absl::Time wall = absl::FromUnixSeconds(5000);
    clocks.observe(node_id("n2"), wall, start);
    clocks.observe(node_id("n3"), wall, start);
    EXPECT_EQ(clocks.true_time(wall - absl::Seconds(3), start), wall);
    clocks.observe(node_id("n3"), wall + absl::Seconds(3), start);
    EXPECT_EQ(clocks.true_time(wall, start), wall);
}

// Guards against counting usage in the wrong window. On a busy node, beacons wait in the socket
// buffer; treating their times as exact moved 50 of 369 requests into another window.
TEST(clock_estimator, keeps_the_local_clock_when_beacons_arrive_late)
{
    clock_estimator clocks;
    const absl::Time wall = absl::FromUnixSeconds(5000);
    clocks.observe(node_id("n2"), wall - absl::Milliseconds(700), start);
    clocks.observe(node_id("n3"), wall - absl::Milliseconds(700), start);
    EXPECT_EQ(clocks.true_time(wall, start), wall);
}

// Clock offsets are measured on beacons received directly, which nodes of other regions may send
// only when they start. The steady clock stops while this machine is suspended. Afterwards, the
// outdated offsets of other regions could outnumber the current ones and move the median.
TEST(clock_estimator, forgets_old_observations)
{
    clock_estimator clocks;
    const absl::Time wall = absl::FromUnixSeconds(5000);
    for (const char* node : {"n2", "n3", "n4"})
        clocks.observe(node_id(node), wall, start);
    const absl::Time later = start + absl::Seconds(3);
    const absl::Time true_wall = wall + absl::Seconds(10);
    clocks.observe(node_id("n5"), true_wall, later);
    EXPECT_EQ(clocks.true_time(true_wall, later), true_wall);
}

TEST(usage_ledger, counts_by_window)
{
    usage_ledger ledger(absl::Seconds(5));
    const workspace_id w("w");
    ledger.count_start(w, absl::FromUnixSeconds(4));
    ledger.count_start(w, absl::FromUnixSeconds(5));
    ledger.count_start(w, absl::FromUnixSeconds(9));
    const auto reports = ledger.recent_reports();
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0], (usage_report{.window = 0, .counts = {{w, 1}}}));
    EXPECT_EQ(reports[1], (usage_report{.window = 1, .counts = {{w, 2}}}));
    EXPECT_EQ(ledger.end_of(1), absl::FromUnixSeconds(10));
}

// Guards against two lease holders that send different counts for a window: the first planned
// report in the topic is binding.
TEST(control_log, keeps_the_first_planned_report)
{
    control_log log;
    const usage_report first{.window = 7, .counts = {{workspace_id("w"), 3}}};
    const usage_report second{.window = 7, .counts = {{workspace_id("w"), 4}}};
    log.apply({.records = {{.value = control_log::encode_grant(node_id("n1")), .offset = 0},
                           {.value = control_log::encode_report(first), .offset = 1},
                           {.value = control_log::encode_grant(node_id("n2")), .offset = 2},
                           {.value = control_log::encode_report(second), .offset = 3}},
               .next_offset = 4});
    EXPECT_EQ(*log.planned_report(7), first);
    EXPECT_EQ(log.holder(), node_id("n2"));
    EXPECT_EQ(log.holder_token(), 2U);
    EXPECT_EQ(log.end_offset(), 4U);
}

} // namespace
} // namespace chivedeal::forward
