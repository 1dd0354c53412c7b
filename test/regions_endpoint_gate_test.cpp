#include "chivedeal/forward/endpoint_directory.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/regions/endpoint_gate.hpp"

#include <gtest/gtest.h>

namespace chivedeal::regions {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const endpoint_id e1("e1");
// So many that no permit of this node falls into the tests.
constexpr int many_nodes = 10000000;
constexpr absl::Duration cold_time = absl::Seconds(20);

forward::endpoint_record make_record(std::int64_t started_at,
                                     std::optional<absl::Duration> remaining = std::nullopt)
{
    return {.id = e1,
            .service = service_id("s"),
            .address = {.host = "10.0.0.1", .port = 1},
            .zone = zone_id("z"),
            .remaining_warm_up = remaining,
            .started_at_unix_ms = started_at};
}

endpoint_gate make_gate()
{
    endpoint_gate gate({});
    gate.set_node_count(many_nodes, start);
    gate.set_cold_specs({{service_id("s"), {.cold_time = cold_time, .requests_per_s = 4}}}, start);
    return gate;
}

// A cold endpoint gets no request, as this node has no permit, and is counted.
bool is_cold(const endpoint_gate& gate, absl::Time now)
{
    const bool refuses = gate.check(make_record(0), {}, now) == gate_verdict::no_cold_permit;
    EXPECT_EQ(gate.cold_count(now) == 1, refuses);
    return refuses;
}

// Guards against a limit on all endpoints after the restart of a node.
TEST(endpoint_gate, trusts_the_first_list)
{
    endpoint_gate gate = make_gate();
    gate.on_record(make_record(1), start);
    EXPECT_FALSE(is_cold(gate, start));
    gate.on_record(make_record(1, absl::Seconds(3)), start);
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(2)));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(3)));
}

// Guards against a crash of an endpoint that has just started and whose record doesn't say so.
TEST(endpoint_gate, takes_a_new_or_restarted_endpoint_for_cold)
{
    endpoint_gate gate = make_gate();
    gate.on_endpoints_loaded();
    gate.on_record(make_record(1), start);
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(19)));
    EXPECT_FALSE(is_cold(gate, start + cold_time));
    gate.on_record(make_record(2), start + absl::Seconds(100));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(119)));
    // The record of the new incarnation says otherwise.
    gate.on_record(make_record(3, absl::ZeroDuration()), start + absl::Seconds(200));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(201)));
    gate.on_record(make_record(3, absl::Seconds(20)), start + absl::Seconds(300));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(319)));
}

// Guards against a burst to an endpoint whose record lapsed while it restarted unseen.
TEST(endpoint_gate, takes_a_returned_endpoint_for_cold)
{
    endpoint_gate gate = make_gate();
    gate.on_record(make_record(1, absl::ZeroDuration()), start);
    gate.on_removed(e1, start + absl::Seconds(5));
    gate.on_record(make_record(1, absl::ZeroDuration()), start + absl::Seconds(6));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(25)));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(26)));
}

// Guards against a burst to an endpoint that can be reached again, from its first request on.
TEST(endpoint_gate, takes_an_unreachable_endpoint_for_cold_until_after_its_return)
{
    endpoint_gate gate = make_gate();
    gate.on_record(make_record(1), start);
    gate.on_answered(e1, start);
    EXPECT_FALSE(is_cold(gate, start));
    gate.on_unreachable(e1);
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(100)));
    gate.on_answered(e1, start + absl::Seconds(100));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(119)));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(120)));
}

// Guards against a burst at the end of an evacuation, also if an older record arrives just after.
TEST(endpoint_gate, takes_the_endpoints_of_a_zone_for_cold_after_its_evacuation)
{
    endpoint_gate gate = make_gate();
    gate.on_record(make_record(1), start);
    gate.set_evacuated_zones({zone_id("z")}, start);
    gate.set_evacuated_zones({}, start + absl::Seconds(50));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(69)));
    gate.on_record(make_record(1, absl::ZeroDuration()), start + absl::Seconds(51));
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(69)));
    gate.on_record(make_record(1, absl::ZeroDuration()), start + absl::Seconds(55));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(56)));
}

TEST(endpoint_gate, follows_the_reports_of_responses)
{
    endpoint_gate gate = make_gate();
    gate.on_record(make_record(1), start);
    gate.on_cold_reported(e1, absl::Seconds(4), start);
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(3)));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(4)));
    gate.on_unreachable(e1);
    gate.on_cold_reported(e1, absl::ZeroDuration(), start + absl::Seconds(5));
    EXPECT_FALSE(is_cold(gate, start + absl::Seconds(5)));
    // Values from outside don't block an endpoint for ever.
    gate.on_cold_reported(e1, absl::InfiniteDuration(), start);
    EXPECT_FALSE(is_cold(gate, start + absl::Hours(2)));
}

// Guards against limits on the endpoints of services that have no cold endpoints.
TEST(endpoint_gate, limits_only_services_with_a_cold_time)
{
    endpoint_gate gate({});
    gate.set_node_count(many_nodes, start);
    gate.on_endpoints_loaded();
    gate.on_record(make_record(1, absl::Seconds(10)), start);
    EXPECT_EQ(gate.cold_count(start), 0);
    EXPECT_EQ(gate.check(make_record(1), {}, start), gate_verdict::allowed);
    // The configuration may arrive after the endpoints.
    gate.set_cold_specs({{service_id("s"), {.cold_time = cold_time, .requests_per_s = 4}}}, start);
    EXPECT_TRUE(is_cold(gate, start + absl::Seconds(9)));
}

// Guards against missing that an endpoint became cold again: its record then equals the one that it
// published at its start.
TEST(endpoint_gate, learns_of_an_endpoint_that_becomes_cold_again)
{
    forward::endpoint_directory directory;
    EXPECT_EQ(directory.on_record(make_record(1, cold_time)).size(), 1U);
    EXPECT_EQ(directory.on_record(make_record(1, cold_time)).size(), 1U);
    EXPECT_EQ(directory.on_record(make_record(1, absl::ZeroDuration())).size(), 1U);
    EXPECT_TRUE(directory.on_record(make_record(1, absl::ZeroDuration())).empty());
}

} // namespace
} // namespace chivedeal::regions
