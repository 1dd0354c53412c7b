#include "chivedeal/forward/endpoint_pool.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");
const regions::home_regions home({region_id("r1")});

endpoint_record make_record(const char* id, const char* zone, const char* version = "v1")
{
    return {.id = endpoint_id(id),
            .service = drafts,
            .address = {.host = "127.0.0.1", .port = 1},
            .zone = zone_id(zone),
            .version = version_id(version),
            .slots = 4,
            .started_at_unix_ms = 1};
}

class regions_endpoint_pool : public ::testing::Test
{
protected:
    void add(const endpoint_record& record)
    {
        m_pool.update(record);
        m_pool.gate().on_record(record, start);
    }

    void evacuate(std::set<zone_id> zones, absl::Time now = start)
    {
        m_pool.gate().set_evacuated_zones(std::move(zones), now);
    }

    std::string chosen(const regions::home_regions& homes = {}, absl::Time now = start,
                       std::vector<endpoint_id> excluded = {}) const
    {
        const auto choice = m_pool.choose({.service = drafts,
                                           .prompt_tokens = 100,
                                           .excluded = std::move(excluded),
                                           .homes = homes},
                                          0.5, now);
        return is_ok(choice) ? get_value(choice).id.str() : to_string(get_error(choice).code);
    }

    endpoint_pool m_pool{{.self = node_id("n1"),
                          .region = region_id("r1"),
                          .zones = {{zone_id("a"), region_id("r1")},
                                    {zone_id("b"), region_id("r2")},
                                    {zone_id("c"), region_id("r1")}}}};
};

// Guards against requests that leave their home regions because the endpoints there are failing,
// paused, already tried or carry the other version.
TEST_F(regions_endpoint_pool, never_leaves_the_home_regions)
{
    add(make_record("away", "b"));
    add(make_record("nowhere", "unknown"));
    EXPECT_EQ(chosen(home), "outside_home_regions");
    add(make_record("home", "a"));
    EXPECT_EQ(chosen(home), "home");
    EXPECT_EQ(chosen(home, start, {endpoint_id("home")}), "no_endpoint");
    m_pool.set_version_share(drafts, version_id("v1"), 0);
    EXPECT_EQ(chosen(home), "no_endpoint");
    m_pool.set_version_share(drafts, version_id("v2"), 1);
    EXPECT_EQ(chosen(home), "home");
    m_pool.on_unreachable(endpoint_id("home"), start);
    EXPECT_EQ(chosen(home), "home");
    for (int i = 0; i < 50; ++i)
        m_pool.on_failure(endpoint_id("home"), start);
    EXPECT_EQ(chosen(home), "home");
    m_pool.on_retry_after({.id = endpoint_id("home"),
                           .address = {.host = "127.0.0.1", .port = 1},
                           .started_at_unix_ms = 1},
                          start + absl::Seconds(1), start);
    EXPECT_EQ(chosen(home), "no_endpoint");
    EXPECT_EQ(chosen(home.intersected(regions::home_regions({region_id("r2")}))),
              "outside_home_regions");
}

// Guards against requests to an evacuated zone when all other endpoints are paused or failing.
TEST_F(regions_endpoint_pool, never_chooses_an_endpoint_of_an_evacuated_zone)
{
    add(make_record("e1", "a"));
    add(make_record("e2", "c"));
    evacuate({zone_id("a")});
    EXPECT_EQ(chosen(), "e2");
    m_pool.on_unreachable(endpoint_id("e2"), start);
    EXPECT_EQ(chosen(), "e2");
    EXPECT_EQ(chosen({}, start, {endpoint_id("e2")}), "no_endpoint");
    evacuate({zone_id("a"), zone_id("c")});
    EXPECT_EQ(chosen(), "zone_evacuated");
    EXPECT_TRUE(m_pool.gate().is_evacuated(endpoint_id("e1")));
    // A record that is updated during the evacuation doesn't end it.
    add(make_record("e1", "a", "v2"));
    EXPECT_EQ(chosen(), "zone_evacuated");
    evacuate({zone_id("c")});
    EXPECT_EQ(chosen(), "e1");
    EXPECT_FALSE(m_pool.gate().is_evacuated(endpoint_id("e1")));
}

// Guards against a true reason that is hidden by that of endpoints further away.
TEST_F(regions_endpoint_pool, names_the_reason_of_the_closest_endpoints)
{
    add(make_record("away", "b"));
    add(make_record("home", "a"));
    evacuate({zone_id("a")});
    EXPECT_EQ(chosen(home), "zone_evacuated");
    EXPECT_EQ(chosen(), "away");
}

// Guards against a Retry-After that is too early because endpoints that the request may not use are
// free.
TEST_F(regions_endpoint_pool, derives_the_retry_time_from_allowed_endpoints)
{
    add(make_record("away", "b"));
    add(make_record("home", "a"));
    m_pool.on_retry_after({.id = endpoint_id("home"),
                           .address = {.host = "127.0.0.1", .port = 1},
                           .started_at_unix_ms = 1},
                          start + absl::Seconds(3), start);
    EXPECT_EQ(m_pool.retry_time({.service = drafts}, start), std::nullopt);
    EXPECT_EQ(m_pool.retry_time({.service = drafts, .homes = home}, start),
              start + absl::Seconds(3));
    evacuate({zone_id("b")});
    EXPECT_EQ(m_pool.retry_time({.service = drafts}, start), start + absl::Seconds(3));
}

// Guards against requests to a cold endpoint beyond this node's permits.
TEST_F(regions_endpoint_pool, sends_to_a_cold_endpoint_only_with_a_permit)
{
    add(make_record("e1", "a"));
    m_pool.gate().set_cold_specs({{drafts, {.cold_time = absl::Seconds(20), .requests_per_s = 1}}},
                                 start);
    m_pool.gate().set_node_count(1, start);
    EXPECT_EQ(chosen(), "e1");
    endpoint_record cold = make_record("e1", "a");
    cold.remaining_warm_up = absl::Seconds(10);
    add(cold);
    int sent = 0;
    int refused = 0;
    for (absl::Time now = start; now < start + absl::Seconds(9); now += absl::Milliseconds(10)) {
        const std::string result = chosen({}, now);
        if (result == "e1") {
            m_pool.on_sent(endpoint_id("e1"), 0, now);
            m_pool.on_request_ended(endpoint_id("e1"), true);
            ++sent;
        }
        else {
            EXPECT_EQ(result, "endpoints_cold");
            ++refused;
        }
    }
    EXPECT_GE(sent, 4);
    EXPECT_LE(sent, 9);
    EXPECT_GT(refused, 800);
    // A warm endpoint takes the requests.
    add(make_record("e2", "c"));
    EXPECT_EQ(chosen({}, start + absl::Seconds(9), {endpoint_id("e1")}), "e2");
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(chosen({}, start + absl::Seconds(11), {endpoint_id("e2")}), "e1");
}

} // namespace
} // namespace chivedeal::forward
