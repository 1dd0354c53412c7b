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

TEST(endpoint_pool, prefers_the_least_loaded_endpoint_of_its_own_region)
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
    // Once the prefill is done, only the requests in progress count.
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

// Guards against requests to a leaving endpoint whose removal is due while the watcher waits for a
// response of the store.
TEST(endpoint_pool, stops_using_an_endpoint_when_its_removal_is_due)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.schedule_removal(endpoint_id("e1"), start + absl::Seconds(2));
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Milliseconds(1900)), "e1");
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(2)), "no_endpoint");
    pool.update(make_record("e1"));
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(2)), "e1");
}

// Guards against requests to an endpoint that announced its leaving, after its record lapsed and
// returned in an outage of the store or is read again in an older version.
TEST(endpoint_pool, remembers_an_announced_leaving_when_the_record_returns)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    const endpoint_choice answered_by = get_value(pool.choose(make_query(), 0.5, start));
    pool.on_announced_leaving(answered_by, start);
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
    pool.update(make_record("e1"));
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
    pool.remove(endpoint_id("e1"));
    pool.update(make_record("e1"));
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
}

// Guards against requests to a leaving endpoint whose response arrives while its record is gone.
TEST(endpoint_pool, remembers_an_announced_leaving_of_an_endpoint_without_a_record)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    const endpoint_choice answered_by = get_value(pool.choose(make_query(), 0.5, start));
    pool.remove(endpoint_id("e1"));
    pool.on_announced_leaving(answered_by, start);
    pool.update(make_record("e1"));
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
}

// Guards against losing an endpoint for good that restarts under its previous ID.
TEST(endpoint_pool, uses_an_endpoint_that_restarted_after_leaving)
{
    endpoint_pool pool = make_pool();
    endpoint_record record = make_record("e1");
    record.started_at_unix_ms = 1000;
    pool.update(record);
    pool.on_announced_leaving(get_value(pool.choose(make_query(), 0.5, start)), start);
    pool.remove(endpoint_id("e1"));
    record.started_at_unix_ms = 2000;
    pool.update(record);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

// Guards against requests to an endpoint that asked for a pause: if all endpoints are paused for
// other reasons, one is tried nevertheless.
TEST(endpoint_pool, sends_nothing_to_an_endpoint_before_its_retry_time)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    const endpoint_choice refused_by = get_value(pool.choose(make_query(), 0.5, start));
    pool.on_retry_after(refused_by, start + absl::Seconds(3), start);
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Milliseconds(2999)), "no_endpoint");
    EXPECT_EQ(pool.retry_time({.service = drafts}, start), start + absl::Seconds(3));
    pool.remove(endpoint_id("e1"));
    pool.update(make_record("e1"));
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(1)), "no_endpoint");
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(3)), "e1");
    EXPECT_EQ(pool.retry_time({.service = drafts}, start + absl::Seconds(3)), std::nullopt);
}

// Guards against forgetting what endpoints asked for while it still holds.
TEST(endpoint_pool, remembers_demands_for_as_long_as_they_hold)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_retry_after(get_value(pool.choose(make_query(), 0.5, start)), start + absl::Hours(2),
                        start);
    pool.remove(endpoint_id("e1"));
    absl::Time now = start;
    for (const char* id : {"e2", "e3"}) {
        pool.update(make_record(id));
        pool.on_announced_leaving(get_value(pool.choose(make_query(), 0.5, now)), now);
        now += absl::Hours(1);
    }
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Hours(1)), "no_endpoint");
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Hours(2)), "e1");
}

// Guards against a longer refusal than needed while another endpoint accepts requests.
TEST(endpoint_pool, has_no_retry_time_while_an_endpoint_wants_requests)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    const endpoint_choice refused_by = get_value(pool.choose(make_query(), 0.5, start));
    pool.on_retry_after(refused_by, start + absl::Seconds(3), start);
    pool.update(make_record("e2"));
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    EXPECT_EQ(pool.retry_time({.service = drafts}, start), std::nullopt);
}

// Guards against repeated prefill: if prompts with a shared part were spread over several
// endpoints, each of them would have to process that part.
TEST(endpoint_pool, sends_prompts_with_a_shared_part_to_one_endpoint)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3", "e4"})
        pool.update(make_record(id));
    endpoint_query query = make_query();
    query.prompt_tokens = 6000;
    query.prefix = {{"shared", 5000}, {"own", 1000}};
    const std::string rendezvous_endpoint = chosen(pool, query);
    query.prefix.back().id = "another";
    EXPECT_EQ(chosen(pool, query), rendezvous_endpoint);
}

// Waiting for a busy rendezvous endpoint can take longer than the prefill of the shared part
// elsewhere.
TEST(endpoint_pool, avoids_a_busy_rendezvous_endpoint)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3", "e4"})
        pool.update(make_record(id));
    endpoint_query query = make_query();
    query.prefix = {{"shared", 900}, {"own", 100}};
    const std::string rendezvous_endpoint = chosen(pool, query);
    pool.on_sent(endpoint_id(rendezvous_endpoint), 20000, start);
    EXPECT_NE(chosen(pool, query), rendezvous_endpoint);
}

// Guards against queueing short prompts behind very long ones: the predicted prefill time of the
// long ones was two thirds of the actual time.
TEST(endpoint_pool, predicts_more_than_proportional_prefill_time_for_long_prompts)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    endpoint_query query = make_query();
    query.prompt_tokens = 1000;
    const auto small = get_value(pool.choose(query, 0.5, start));
    query.prompt_tokens = 40000;
    const auto large = get_value(pool.choose(query, 0.5, start));
    EXPECT_LT(small.prefill_cost_tokens, 1020);
    EXPECT_GT(large.prefill_cost_tokens, 48000);
    pool.on_sent(endpoint_id("e1"), large.prefill_cost_tokens, start);
    query.prompt_tokens = 1000;
    EXPECT_GT(get_value(pool.choose(query, 0.5, start)).predicted_first_byte_time,
              absl::Milliseconds(1000));
}

TEST(endpoint_pool, pauses_an_unreachable_endpoint)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "b"));
    pool.on_unreachable(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    EXPECT_EQ(chosen(pool, make_query(), start + absl::Seconds(1)), "e1");
}

// Guards against nodes that count only their own failures: endpoints that reset all connections
// received 250 requests in six seconds, because none of the 89 nodes sent enough requests to see
// three failures of one endpoint.
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

// When all endpoints fail half of their requests, pausing the failing ones would put all load on
// the few that remain.
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

// Guards against needless traffic between nodes: with 90 endpoints, each node reported all of them to
// its peers three times a second.
TEST(endpoint_pool, reports_only_recently_used_endpoints_to_peers)
{
    endpoint_pool pool = make_pool();
    for (const char* id : {"e1", "e2", "e3"})
        pool.update(make_record(id));
    pool.on_sent(endpoint_id("e1"), 100, start);
    pool.on_sent(endpoint_id("e2"), 100, start);
    pool.on_request_ended(endpoint_id("e2"), false);
    EXPECT_EQ(pool.own_load(start).size(), 2U);
    const auto later = pool.own_load(start + absl::Seconds(5));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].endpoint, endpoint_id("e1"));
    // An outcome is reported even if the request was sent long ago.
    pool.on_failure(endpoint_id("e2"), start + absl::Seconds(5));
    EXPECT_EQ(pool.own_load(start + absl::Seconds(5)).size(), 2U);
}

// Guards against choosing busy endpoints because their load isn't known yet: with 74 nodes, beacons
// arrived only after the prefill, and one request in ten was late even without faults.
TEST(endpoint_pool, counts_a_prompt_once_when_both_notice_and_report_include_it)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 100}}, start);
    pool.on_peer_prompt({.node = node_id("n2"), .endpoint = endpoint_id("e1"), .tokens = 5000},
                        start);
    pool.on_sent(endpoint_id("e2"), 6000, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    // The first report was sent before the notice; the second includes its prompt.
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 100}}, start);
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 5100}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 0, 9000}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
}

// A notice for every short prompt would multiply the messages between nodes without changing
// choices.
TEST(endpoint_pool, creates_notices_for_long_prompts_only)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_sent(endpoint_id("e1"), 200, start);
    EXPECT_TRUE(pool.take_notices().empty());
    pool.on_sent(endpoint_id("e1"), 20000, start);
    ASSERT_EQ(pool.take_notices().size(), 1U);
    EXPECT_TRUE(pool.take_notices().empty());
}

// Guards against sending requests to hung endpoints until their records expire after four seconds.
TEST(endpoint_pool, avoids_a_silent_endpoint)
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
    // Data of a running stream shows that the endpoint works.
    pool.on_bytes(endpoint_id("e1"), later);
    EXPECT_EQ(chosen(pool, make_query(), later), "e1");
}

// An endpoint sends nothing during the prefill of a long prompt and must not be mistaken for a hung
// one.
TEST(endpoint_pool, does_not_consider_an_endpoint_silent_during_a_long_prefill)
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

// Without the peers' reports, each of 89 nodes would lose a request to a hung endpoint.
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

// Guards against pausing one endpoint after the other in an overload, as happened when time-outs
// were reported to peers.
TEST(endpoint_pool, reports_failures_but_not_time_outs_to_peers)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.on_sent(endpoint_id("e1"), 100, start);
    pool.on_timeout(endpoint_id("e1"), start);
    pool.on_failure(endpoint_id("e1"), start);
    EXPECT_EQ(pool.own_load(start).at(0).failed, 1);
}

// If reports of the same requests added up, an endpoint would look busier with each report.
TEST(endpoint_pool, counts_repeated_reports_of_a_peer_once)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2"));
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 3, 0}}, start);
    pool.set_peer_load(node_id("n2"), {{endpoint_id("e1"), 3, 0}}, start);
    pool.set_peer_load(node_id("n3"), {{endpoint_id("e2"), 4, 0}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
    // Requests at endpoints that a peer's report no longer lists have ended.
    pool.set_peer_load(node_id("n3"), {}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e2");
    pool.forget_peer(node_id("n2"));
    pool.set_peer_load(node_id("n3"), {{endpoint_id("e2"), 1, 0}}, start);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

// A pause is only an estimate of when an endpoint is usable again. Refusing requests because all
// are paused would fail requests that might succeed.
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
    pool.on_request_ended(endpoint_id("e1"), false);
    EXPECT_EQ(chosen(pool, make_query()), "e1");
}

TEST(endpoint_pool, limits_a_new_version_to_its_share)
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

// Guards against applying the traffic share of an earlier version's rollout to the next one.
TEST(endpoint_pool, splits_by_the_newest_rollout_only)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "a", "v2"));
    pool.set_version_share(drafts, version_id("v1"), 1);
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    // Without the split, the idle endpoint of the new version would be chosen.
    pool.on_sent(endpoint_id("e1"), 50000, start);
    EXPECT_EQ(get_value(pool.choose(make_query(), 0.5, start)).id, endpoint_id("e1"));
}

// Requests assigned to a version without endpoints must go to the other one instead of failing, but
// never to a version that was rolled back.
TEST(endpoint_pool, falls_back_to_the_other_version_unless_it_is_rolled_back)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.01), "e1");
    pool.set_version_share(drafts, version_id("v1"), 0);
    EXPECT_EQ(chosen(pool, make_query()), "no_endpoint");
}

// Guards against review/14: an unproven version that gets nearly all requests because the endpoints
// of the stable one fail, ask for a pause or were tried before. Only lost ones leave theirs to it.
TEST(endpoint_pool, keeps_an_unproven_version_to_its_share_while_stable_endpoints_are_reachable)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "a", "v2"));
    pool.set_version_share(drafts, version_id("v2"), 0.05);
    for (int i = 0; i < 50; ++i)
        pool.on_failure(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.5), "e1");
    pool.on_refused(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.5), "e1");
    endpoint_query tried = make_query();
    tried.excluded.push_back(endpoint_id("e1"));
    EXPECT_EQ(chosen(pool, tried, start, 0.5), "no_endpoint");
    pool.on_unreachable(endpoint_id("e1"), start);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.5), "e2");
    EXPECT_EQ(chosen(pool, tried, start, 0.5), "e2");
}

// Guards against requests to a version whose roll-out was called off or replaced by another order,
// while other versions can serve them.
TEST(endpoint_pool, uses_an_abandoned_version_only_as_the_last_one)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    pool.update(make_record("e2", "a", "v2"));
    pool.update(make_record("e3", "a", "v3"));
    pool.set_version_split(
        drafts,
        version_split{.version = version_id("v3"), .share = 0.05, .stable = {version_id("v1")}});
    pool.on_sent(endpoint_id("e1"), 50000, start);
    EXPECT_EQ(chosen(pool, make_query(), start, 0.5), "e1");
    EXPECT_EQ(chosen(pool, make_query(), start, 0.01), "e3");
    pool.remove(endpoint_id("e3"));
    EXPECT_EQ(chosen(pool, make_query(), start, 0.01), "e1");
    pool.remove(endpoint_id("e1"));
    EXPECT_EQ(chosen(pool, make_query(), start, 0.5), "e2");
}

// A record with a new start time under the same identifier belongs to a restarted endpoint, whose
// cache is empty.
TEST(endpoint_pool, forgets_the_cache_of_a_restarted_endpoint)
{
    endpoint_pool pool = make_pool();
    pool.update(make_record("e1"));
    endpoint_query query = make_query();
    query.prefix = {{"own", 1000}};
    pool.on_sent(endpoint_id("e1"), 1000, start);
    pool.on_first_byte(endpoint_id("e1"), query, absl::ZeroDuration(), start);
    EXPECT_EQ(get_value(pool.choose(query, 0.5, start)).cached_tokens, 1000);
    endpoint_record restarted = make_record("e1");
    restarted.started_at_unix_ms = 5;
    pool.update(restarted);
    EXPECT_EQ(get_value(pool.choose(query, 0.5, start)).cached_tokens, 0);
}

} // namespace
} // namespace chivedeal::forward
