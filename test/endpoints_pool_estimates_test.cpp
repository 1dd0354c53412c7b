#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/peer_codec.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");

endpoint_record make_record(const std::string& id, const char* zone = "a")
{
    return {.id = endpoint_id(id),
            .service = drafts,
            .address = {.host = "127.0.0.1", .port = 1},
            .zone = zone_id(zone),
            .slots = 12};
}

endpoint_pool make_pool(const std::vector<endpoint_record>& records)
{
    endpoint_pool pool(
        {.region = region_id("r1"),
         .zones = {{zone_id("a"), region_id("r1")}, {zone_id("b"), region_id("r2")}}});
    for (const endpoint_record& record : records)
        pool.update(record);
    return pool;
}

endpoint_query make_query(std::int64_t tokens = 1000)
{
    return {.service = drafts, .prompt_tokens = tokens};
}

// The prediction for one endpoint, with all others excluded.
endpoint_choice choice_of(const endpoint_pool& pool, const std::string& id, absl::Time now,
                          endpoint_query query = make_query())
{
    for (int i = 0; i < 10; ++i)
        if (const std::string other = "e" + std::to_string(i); other != id)
            query.excluded.push_back(endpoint_id(other));
    return get_value(pool.choose(query, 0.5, now));
}

double predicted_ms(const endpoint_pool& pool, const std::string& id, absl::Time now)
{
    return absl::ToDoubleMilliseconds(choice_of(pool, id, now).predicted_first_byte_time);
}

// Sends a request to the endpoint and answers it after `elapsed`.
void serve(endpoint_pool& pool, const std::string& id, absl::Duration elapsed, absl::Time now)
{
    const endpoint_choice choice = choice_of(pool, id, now);
    pool.on_sent(choice.id, choice.prefill_cost_tokens, now);
    const absl::Time answered = now + elapsed;
    pool.on_first_byte(choice.id, {}, elapsed - choice.predicted_first_byte_time, answered);
    pool.on_response_time(choice, elapsed, answered);
    pool.on_success(choice.id, answered);
    pool.on_request_ended(choice.id, true);
}

// Guards against sending as many requests to a slow endpoint as to its neighbours: with fixed
// figures, all endpoints with the same load look the same.
TEST(endpoint_pool_estimates, avoids_an_endpoint_that_answers_slowly)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2"), make_record("e3")});
    absl::Time now = start;
    for (int i = 0; i < 20; ++i, now += absl::Milliseconds(300)) {
        serve(pool, "e1", absl::Milliseconds(150), now);
        serve(pool, "e2", absl::Milliseconds(24), now);
        serve(pool, "e3", absl::Milliseconds(24), now);
    }
    EXPECT_GT(predicted_ms(pool, "e1", now), 2 * predicted_ms(pool, "e2", now));
    EXPECT_NE(get_value(pool.choose(make_query(), 0.5, now)).id, endpoint_id("e1"));
}

// Guards against taking a link to another region for a slow endpoint.
TEST(endpoint_pool_estimates, does_not_attribute_the_link_to_the_endpoint)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2", "b")});
    const double near_ms = predicted_ms(pool, "e1", start);
    const double far_ms = predicted_ms(pool, "e2", start);
    absl::Time now = start;
    for (int i = 0; i < 20; ++i, now += absl::Milliseconds(300)) {
        serve(pool, "e1", absl::Milliseconds(24), now);
        serve(pool, "e2", absl::Milliseconds(44), now);
    }
    EXPECT_NEAR(predicted_ms(pool, "e1", now), near_ms, 3);
    EXPECT_NEAR(predicted_ms(pool, "e2", now), far_ms, 3);
}

// Guards against endpoints that fail at once and look faster than those that work.
TEST(endpoint_pool_estimates, does_not_prefer_an_endpoint_that_fails_fast)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2"), make_record("e3")});
    absl::Time now = start;
    for (int i = 0; i < 30; ++i, now += absl::Milliseconds(100)) {
        serve(pool, "e2", absl::Milliseconds(60), now);
        serve(pool, "e3", absl::Milliseconds(60), now);
        const endpoint_choice failing = choice_of(pool, "e1", now);
        pool.on_sent(failing.id, failing.prefill_cost_tokens, now);
        pool.on_failure(failing.id, now);
        pool.on_request_ended(failing.id, false);
    }
    EXPECT_GT(predicted_ms(pool, "e1", now), predicted_ms(pool, "e2", now));
    EXPECT_NE(get_value(pool.choose(make_query(), 0.5, now)).id, endpoint_id("e1"));
}

// Guards against an endpoint that is so slow that its requests are given up, and so never shows a
// response time. A caller that gives up early must not make an endpoint look slow, or fast.
TEST(endpoint_pool_estimates, learns_from_requests_that_were_given_up)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2"), make_record("e3")});
    absl::Time now = start;
    const auto give_up = [&pool, &now](const char* id, absl::Duration elapsed) {
        const endpoint_choice choice = choice_of(pool, id, now);
        pool.on_sent(choice.id, choice.prefill_cost_tokens, now);
        pool.on_no_response(choice, elapsed, now + elapsed);
        pool.on_request_ended(choice.id, false);
    };
    for (int i = 0; i < 10; ++i, now += absl::Milliseconds(500)) {
        for (const char* id : {"e2", "e3"})
            serve(pool, id, absl::Milliseconds(24), now);
        give_up("e1", absl::Milliseconds(400));
    }
    EXPECT_GT(predicted_ms(pool, "e1", now), 200);
    const double before = predicted_ms(pool, "e2", now);
    give_up("e2", absl::Milliseconds(5));
    EXPECT_NEAR(predicted_ms(pool, "e2", now + absl::Milliseconds(100)), before, 1);
}

// Guards against a stalled node that moves all its requests to the endpoints that it hasn't used.
TEST(endpoint_pool_estimates, keeps_the_choice_when_all_endpoints_are_late)
{
    std::vector<endpoint_record> records;
    for (int i = 0; i < 10; ++i)
        records.push_back(make_record("e" + std::to_string(i)));
    endpoint_pool pool = make_pool(records);
    absl::Time now = start;
    const auto serve_used = [&](absl::Duration elapsed) {
        for (int i = 0; i < 8; ++i) {
            serve(pool, "e" + std::to_string(i), elapsed, now);
            now += absl::Milliseconds(10);
        }
        // Long enough for the delay that is attributed to unknown prompts to pass.
        now += absl::Seconds(1);
    };
    for (int round = 0; round < 5; ++round)
        serve_used(absl::Milliseconds(24));
    // The endpoint with one request more is the worst before and after the shift.
    pool.on_sent(endpoint_id("e9"), 0, now);
    for (int round = 0; round < 3; ++round)
        serve_used(absl::Milliseconds(324));
    double longest = 0;
    for (int i = 0; i < 9; ++i)
        longest = std::max(longest, predicted_ms(pool, "e" + std::to_string(i), now));
    EXPECT_GT(predicted_ms(pool, "e8", now), 150);
    EXPECT_LT(longest / predicted_ms(pool, "e8", now), 1.3);
    EXPECT_GT(predicted_ms(pool, "e9", now), predicted_ms(pool, "e8", now));
}

// Guards against losing the shared prompt parts of an endpoint to the choice among similar ones.
TEST(endpoint_pool_estimates, keeps_prompts_with_a_shared_part_together_with_many_peers)
{
    std::vector<endpoint_record> records;
    for (int i = 0; i < 10; ++i)
        records.push_back(make_record("e" + std::to_string(i)));
    endpoint_pool pool = make_pool(records);
    for (int peer = 0; peer < 73; ++peer)
        pool.set_peer_load(node_id("n" + std::to_string(peer)), {}, start);
    endpoint_query query = make_query(6610);
    query.prefix = {{"shared", 5382}, {"own", 1228}};
    const endpoint_id first = get_value(pool.choose(query, 0, start)).id;
    for (int i = 1; i < 200; ++i) {
        query.prefix.back().id = "own" + std::to_string(i);
        EXPECT_EQ(get_value(pool.choose(query, i / 200.0, start)).id, first);
    }
}

// Guards against filling an endpoint up to 1.25 requests per slot that is slow at a few requests.
TEST(endpoint_pool_estimates, prefers_other_endpoints_beyond_the_concurrency_limit)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2")});
    absl::Time now = start;
    for (int i = 0; i < 4; ++i)
        pool.on_sent(endpoint_id("e1"), 0, now);
    for (int i = 0; i < 12; ++i, now += absl::Milliseconds(500)) {
        pool.on_bytes(endpoint_id("e1"), now);
        serve(pool, "e1", absl::Milliseconds(24 + (i < 2 ? 0 : 400)), now);
    }
    const endpoint_choice choice = choice_of(pool, "e1", now);
    EXPECT_LT(choice.concurrency_limit, 12);
    EXPECT_EQ(pool.slowed_endpoints(now), 1);
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.5, now)).id, endpoint_id("e2"));
}

// Guards against refusals while slots are free: neither a low limit nor a false report of a full
// endpoint is a reason.
TEST(endpoint_pool_estimates, refuses_nothing_while_slots_are_free)
{
    endpoint_pool pool = make_pool({make_record("e1")});
    pool.on_load_reading(endpoint_id("e1"), {.running = 12, .waiting = 90000, .slots = 12}, start);
    EXPECT_TRUE(is_ok(pool.choose(make_query(), 0.5, start)));
    absl::Time now = start;
    for (int i = 0; i < 30; ++i, now += absl::Milliseconds(300))
        serve(pool, "e1", absl::Milliseconds(i < 2 ? 24 : 900), now);
    for (int i = 0; i < 11; ++i)
        pool.on_sent(endpoint_id("e1"), 0, now);
    EXPECT_TRUE(is_ok(pool.choose(make_query(), 0.5, now)));
}

// Guards against an endpoint that restarts on another machine and keeps the estimate of the old one.
TEST(endpoint_pool_estimates, forgets_the_estimate_of_a_restarted_endpoint)
{
    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2"), make_record("e3")});
    const double before = predicted_ms(pool, "e1", start);
    absl::Time now = start;
    for (int i = 0; i < 20; ++i, now += absl::Milliseconds(300)) {
        serve(pool, "e1", absl::Milliseconds(240), now);
        for (const char* id : {"e2", "e3"})
            serve(pool, id, absl::Milliseconds(24), now);
    }
    const endpoint_choice old = choice_of(pool, "e1", now);
    endpoint_record restarted = make_record("e1");
    restarted.started_at_unix_ms = 5;
    pool.update(restarted);
    now += absl::Seconds(1);
    EXPECT_LT(predicted_ms(pool, "e1", now), 2 * before);
    // A response of the previous incarnation.
    const double current = predicted_ms(pool, "e1", now);
    pool.on_response_time(old, absl::Seconds(3), now);
    EXPECT_DOUBLE_EQ(predicted_ms(pool, "e1", now), current);
}

// A new node knows the endpoints from its peers. Repeated reports of the same responses must not
// outweigh its own observations.
TEST(endpoint_pool_estimates, takes_over_the_estimates_of_peers_once)
{
    endpoint_pool observer = make_pool({make_record("e1"), make_record("e2")});
    absl::Time now = start;
    for (int i = 0; i < 10; ++i, now += absl::Milliseconds(300))
        serve(observer, "e1", absl::Milliseconds(124), now);
    const std::vector<endpoint_load> loads = observer.own_load(now);
    ASSERT_EQ(loads.size(), 1U);
    EXPECT_GT(loads[0].pace_percent, 200);

    endpoint_pool pool = make_pool({make_record("e1"), make_record("e2")});
    pool.set_peer_load(node_id("n2"), loads, now);
    const double once = predicted_ms(pool, "e1", now);
    EXPECT_GT(once, 1.2 * predicted_ms(pool, "e2", now));
    for (int i = 0; i < 20; ++i)
        pool.set_peer_load(node_id("n2"), loads, now);
    EXPECT_DOUBLE_EQ(predicted_ms(pool, "e1", now), once);
}

// Guards against beacons that nodes of the previous version can't read, and against larger beacons
// where there is nothing to report.
TEST(endpoint_pool_estimates, reports_the_pace_to_peers_of_any_version)
{
    node_beacon beacon{.node = node_id("n1")};
    beacon.loads = {{.endpoint = endpoint_id("e1"), .requests = 2}};
    const std::string without = encode_message(beacon);
    EXPECT_EQ(nlohmann::json::from_msgpack(without).at(1).at(11).at(0).size(), 6U);
    beacon.loads[0].pace_percent = 250;
    const std::string with = encode_message(beacon);
    EXPECT_LE(with.size(), without.size() + 3);
    const auto decoded = decode_message(with);
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<node_beacon>(get_value(decoded)).loads, beacon.loads);
}

} // namespace
} // namespace chivedeal::forward
