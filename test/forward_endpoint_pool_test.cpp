#include "chivedeal/forward/endpoint_pool.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const service_id drafts("drafts");

endpoint_record make_record(const char* id, const char* zone = "a", const char* version = "v1")
{
    return {.id = endpoint_id(id),
            .service = drafts,
            .address = {.host = "127.0.0.1", .port = 1},
            .zone = zone_id(zone),
            .version = version_id(version),
            .slots = 4};
}

endpoint_pool make_pool()
{
    return endpoint_pool(
        {.region = region_id("r1"),
         .zones = {{zone_id("a"), region_id("r1")}, {zone_id("b"), region_id("r2")}}});
}

endpoint_query make_query() { return {.service = drafts, .prompt_tokens = 1000}; }

std::string chosen(const endpoint_pool& pool, const endpoint_query& query, absl::Time now = start,
                   double random = 0.5)
{
    const auto choice = pool.choose(query, random, now);
    return is_ok(choice) ? get_value(choice).id.str() : to_string(get_error(choice).code);
}

TEST(endpoint_pool, prefers_the_own_region_and_the_least_loaded)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    pool.update(make_record("e3", "b"));
    pool.on_sent(endpoint_id("e1"), 1000, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e2"), 0, 1000}}, start);
    pool.set_peer_load(node_id("n3"), {{endpoint_id("e1"), 1, 1000}}, start);
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e2"), 1, 9000}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    // Prompts are read after a while; then only the requests under way count.
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(1)), "e2");
}

TEST(endpoint_pool, never_chooses_a_leaving_or_removed_endpoint)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    endpoint_record leaving = make_record("e1");
    leaving.leaving = true;
    pool.update(leaving);
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
    pool.remove(endpoint_id("e1"));
    EXPECT_EQ(chosen(pool, make_query()), "unknown_service");
}

TEST(endpoint_pool, keeps_a_shared_prompt_part_on_one_endpoint)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3", "e4"})
        pool.update(make_record(id));
    endpoint_query query = make_query();
    query.prompt_tokens = 6000;
    query.prefix = {{"shared", 5000}, {"own", 1000}};
    const std::string home = chosen(pool, query);
    query.prefix.back().id = "another";
    EXPECT_EQ(chosen(pool, query), home);
}

// A home that is busy enough costs more than reading the part again elsewhere.
TEST(endpoint_pool, leaves_a_busy_home)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3", "e4"})
        pool.update(make_record(id));
    endpoint_query query = make_query();
    query.prefix = {{"shared", 900}, {"own", 100}};
    const std::string home = chosen(pool, query);
    pool.on_sent(endpoint_id(home), 20000, start);
    EXPECT_NE(chosen(pool, query), home);
}

// Very long prompts were expected to be read in two thirds of their time, and short ones were sent
// to wait behind them.
TEST(endpoint_pool, expects_a_long_prompt_to_take_more_than_its_length)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    endpoint_query query = make_query();
    query.prompt_tokens = 1000;
    const auto small = get_value(pool.choose(query, 0.5, start));
    query.prompt_tokens = 40000;
    const auto large = get_value(pool.choose(query, 0.5, start));
    EXPECT_LT(small.reading_tokens, 1020);
    EXPECT_GT(large.reading_tokens, 48000);
    pool.on_sent(endpoint_id("e1"), large.reading_tokens, start);
    query.prompt_tokens = 1000;
    EXPECT_GT(get_value(pool.choose(query, 0.5, start)).predicted, absl::Milliseconds(1000));
}

TEST(endpoint_pool, pauses_an_endpoint_that_cannot_be_reached)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "b"));
    pool.on_unreachable(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(1)), "e1");
}

// Pauses are guesses: with nothing else left, a paused endpoint is tried.
// Endpoints that reset all connections got 250 requests in six seconds: of 89 nodes none sent one of
// them enough to see three failures.
TEST(endpoint_pool, pauses_an_endpoint_that_fails_the_requests_of_several_nodes)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    for (const char* node : {"n2", "n3", "n4"})
        pool.set_peer_load(node_id(node), {}, start);
    for (const char* node : {"n2", "n3"})
        pool.set_peer_load(node_id(node), {{.endpoint = endpoint_id("e1"), .failed = 1}}, start);
    pool.on_sent(endpoint_id("e2"), 20000, start);
    pool.on_sent(endpoint_id("e3"), 20000, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    pool.set_peer_load(node_id("n4"), {{.endpoint = endpoint_id("e1"), .failed = 1}}, start);
    EXPECT_NE(chosen(pool, make_query()), "e1");
    pool.set_peer_load(node_id("n4"), {{.endpoint = endpoint_id("e1"), .answered = 1, .failed = 1}},
                       start + absl::Seconds(3));
    for (const char* id : {"e2", "e3"})
        pool.on_sent(endpoint_id(id), 60000, start + absl::Seconds(3));
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(3)), "e1");
}

// While all endpoints failed half of their requests, pauses would have left all load to a few.
TEST(endpoint_pool, keeps_failing_endpoints_in_use_when_most_of_them_fail)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"}) {
        pool.update(make_record(id));
        if (std::string(id) != "e3")
            for (int i = 0; i < 3; ++i)
                pool.on_failure(endpoint_id(id), start);
    }
    for (int i = 0; i < 4; ++i)
        pool.on_sent(endpoint_id("e3"), 40000, start);
    EXPECT_NE(chosen(pool, make_query()), "e3");
}

// A node at a site of 90 endpoints told its peers of all of them three times a second.
TEST(endpoint_pool, tells_peers_of_the_endpoints_it_uses)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    pool.on_sent(endpoint_id("e1"), 100, start);
    pool.on_sent(endpoint_id("e2"), 100, start);
    pool.on_ended(endpoint_id("e2"), false);
    EXPECT_EQ(pool.own_load(start).size(), 2U);
    const auto later = pool.own_load(start + absl::Seconds(5));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].endpoint, endpoint_id("e1"));
    // An outcome is told although the request was sent long ago.
    pool.on_failure(endpoint_id("e2"), start + absl::Seconds(5));
    EXPECT_EQ(pool.own_load(start + absl::Seconds(5)).size(), 2U);
}

// Among 74 nodes a beacon comes when the endpoint has read the prompt: requests were sent to busy
// endpoints, and one in ten was late in calm seconds.
TEST(endpoint_pool, counts_a_noticed_prompt_once)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 100}}, start);
    pool.on_peer_prompt({.node = node_id("n2"), .endpoint = endpoint_id("e1"), .tokens = 5000},
                        start);
    pool.on_sent(endpoint_id("e2"), 6000, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    // A report from before the notice, and one that counts the prompt, too.
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 100}}, start);
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 5100}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 9000}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
}

TEST(endpoint_pool, has_peers_told_of_long_prompts_alone)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_sent(endpoint_id("e1"), 200, start);
    EXPECT_TRUE(pool.take_notices().empty());
    pool.on_sent(endpoint_id("e1"), 20000, start);
    ASSERT_EQ(pool.take_notices().size(), 1U);
    EXPECT_TRUE(pool.take_notices().empty());
}

// Endpoints that had hung got requests until their records lapsed after four seconds.
TEST(endpoint_pool, avoids_an_endpoint_from_which_nothing_comes)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    for (int i = 0; i < 3; ++i)
        pool.on_sent(endpoint_id("e3"), 60000, start);
    pool.on_sent(endpoint_id("e1"), 100, start);
    const absl::Time later = start + absl::Seconds(2);
    pool.on_sent(endpoint_id("e2"), 100, later);
    pool.on_sent(endpoint_id("e2"), 100, later);
    EXPECT_EQ(chosen(pool, make_query(), later), "e2");
    // Events of a running stream show that it lives.
    pool.on_bytes(endpoint_id("e1"), later);
    EXPECT_EQ(chosen(pool, make_query(), later), "e1");
}

TEST(endpoint_pool, waits_for_a_long_prompt_before_it_calls_an_endpoint_silent)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    for (int i = 0; i < 3; ++i)
        pool.on_sent(endpoint_id("e3"), 60000, start);
    pool.on_sent(endpoint_id("e1"), 60000, start);
    const absl::Time later = start + absl::Milliseconds(1500);
    for (int i = 0; i < 2; ++i)
        pool.on_sent(endpoint_id("e2"), 60000, later);
    EXPECT_EQ(chosen(pool, make_query(), later), "e1");
}

// Among 89 nodes each would lose a request to learn it.
TEST(endpoint_pool, avoids_an_endpoint_that_is_silent_to_two_peers)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    for (int i = 0; i < 3; ++i)
        pool.on_sent(endpoint_id("e3"), 60000, start);
    pool.on_sent(endpoint_id("e2"), 100, start);
    pool.set_peer_load(node_id("n2"), {{.endpoint = endpoint_id("e1"), .is_silent = true}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    pool.set_peer_load(node_id("n3"), {{.endpoint = endpoint_id("e1"), .is_silent = true}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    pool.set_peer_load(node_id("n3"), {}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

// Told to peers, the time-outs of an overload paused one endpoint after the other.
TEST(endpoint_pool, tells_peers_of_failures_but_not_of_late_answers)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_sent(endpoint_id("e1"), 100, start);
    pool.on_silence(endpoint_id("e1"), start);
    pool.on_failure(endpoint_id("e1"), start);
    EXPECT_EQ(pool.own_load(start).at(0).failed, 1);
}

TEST(endpoint_pool, counts_what_a_peer_has_under_way_once)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 3, 0}}, start);
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 3, 0}}, start);
    pool.set_peer_load(node_id("n3"), {{endpoint_id("e2"), 4, 0}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    // What a beacon doesn't name any more has ended.
    pool.set_peer_load(node_id("n3"), {}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    pool.forget_peer(node_id("n2"));
    pool.set_peer_load(node_id("n3"), {{endpoint_id("e2"), 1, 0}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

TEST(endpoint_pool, tries_a_paused_endpoint_when_all_are_paused)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_unreachable(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

TEST(endpoint_pool, refuses_when_all_are_full)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    for (int i = 0; i < 5; ++i)
        pool.on_sent(endpoint_id("e1"), 0, start);
    EXPECT_EQ(chosen(pool, make_query()), "shed");
    pool.on_ended(endpoint_id("e1"), false);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

TEST(endpoint_pool, gives_a_new_version_its_share_only)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "a", "v2"));
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.04, start)).id, endpoint_id("e2"));
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.06, start)).id, endpoint_id("e1"));
    pool.set_version_share(drafts, version_id("v2"), 0);
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.0, start)).id, endpoint_id("e1"));
}

// The share of an earlier version's roll-out was taken for that of the next one.
TEST(endpoint_pool, splits_by_the_newest_rollout_alone)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "a", "v2"));
    pool.set_version_share(drafts, version_id("v1"), 1);
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    // Without the split the idle endpoint of the new version would be chosen.
    pool.on_sent(endpoint_id("e1"), 50000, start);
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.5, start)).id, endpoint_id("e1"));
}

// Requests of a version whose endpoints are not there yet go to the other; a version that was
// rolled back gets none even then.
TEST(endpoint_pool, leaves_requests_to_the_other_version_unless_it_is_rolled_back)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.01), "e1");
    pool.set_version_share(drafts, version_id("v1"), 0);
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
}

// The same identifier with a new start time is an endpoint that holds nothing of before.
TEST(endpoint_pool, forgets_what_a_restarted_endpoint_held)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    endpoint_query query = make_query();
    query.prefix = {{"own", 1000}};
    pool.on_sent(endpoint_id("e1"), 1000, start);
    pool.on_first_byte(endpoint_id("e1"), query, absl::ZeroDuration(), start);
    EXPECT_EQ(get_value(pool.choose(query, 0.5, start)).cached_tokens, 1000);
    endpoint_record restarted = make_record("e1");
    restarted.born_ms = 5;
    pool.update(restarted);
    EXPECT_EQ(get_value(pool.choose(query, 0.5, start)).cached_tokens, 0);
}

} // namespace
} // namespace chivedeal::forward
