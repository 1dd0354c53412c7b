#include "chivedeal/requests/request_flow.hpp"

#include "fakes/fake_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)
using fakes::fake_cluster;

namespace {

constexpr absl::Duration minute = absl::Minutes(1);

void run_whole(fake_cluster& cluster, fake_cluster::attempt& one)
{
    cluster.start(one);
    for (std::uint64_t at = one.position; at < fake_cluster::answer_tokens; ++at)
        cluster.send_token(one, at);
    cluster.end(one);
}

void leave_endpoint(fake_cluster& cluster, const fake_cluster::attempt& one, absl::Duration left)
{
    cluster.set_leaving(static_cast<std::size_t>(one.start.endpoint.str()[1] - '0'), left);
}

// One random step of the world. `what`, `who` and `how` are drawn freely.
void step(fake_cluster& cluster, int what, std::size_t who, int how)
{
    const std::size_t node = who % 2;
    auto& attempts = cluster.attempts();
    fake_cluster::attempt* one = attempts.empty() ? nullptr : attempts[who % attempts.size()].get();
    const std::size_t callers = cluster.connections().size();
    const std::size_t caller = callers == 0 ? 0 : who % callers + 1;
    const bool connected = caller != 0 && !cluster.connections()[caller - 1].closed &&
                           !cluster.connections()[caller - 1].end;
    switch (what) {
    case 0:
        cluster.submit(node, how % 3 == 0 ? "" : absl::StrCat("k", how % 3),
                       absl::Milliseconds(200 + 300 * how));
        return;
    case 1:
    case 2:
        if (one != nullptr)
            cluster.start(*one);
        return;
    case 3:
    case 4:
    case 5:
        if (one != nullptr)
            cluster.send_token(*one, one->position);
        return;
    case 6:
        // A duplicate or, above the next position, a hole.
        if (one != nullptr)
            cluster.send_token(*one, static_cast<std::uint64_t>(how) % fake_cluster::answer_tokens);
        return;
    case 7:
        if (one != nullptr)
            run_whole(cluster, *one);
        return;
    case 8:
        if (one != nullptr)
            cluster.fail(*one, how % 3 == 0   ? result_code::endpoint_not_started
                               : how % 3 == 1 ? result_code::endpoint_failed
                                              : result_code::endpoint_lost);
        return;
    case 9:
        cluster.commit(who, how % 4 == 0);
        return;
    case 10:
    case 11:
        cluster.read(node);
        return;
    case 12:
        // Without a tick: a paused node does not see the time pass.
        cluster.advance(absl::Milliseconds(how % 5 == 0 ? 4000 : 40 * how));
        return;
    case 13:
        cluster.tick(node);
        return;
    case 14:
        if (connected)
            cluster.leave(caller);
        return;
    case 15:
        if (caller != 0 && !cluster.connections()[caller - 1].end)
            cluster.resume(caller, cluster.connections()[caller - 1].node);
        return;
    case 16:
        if (connected && how % 4 == 0)
            cluster.cancel(caller);
        return;
    case 17:
        if (how % 4 == 0)
            cluster.set_leaving(who % 3, absl::Seconds(how));
        else
            cluster.answer_kv(how % 2 == 0);
        return;
    case 18:
        if (one != nullptr)
            cluster.send_crossed_token(*one);
        return;
    default:
        cluster.refuse_appends = how % 4 == 0;
    }
}

} // namespace

// Guards against every break of the promises that a caller sees: an answer with a hole or with
// another request's token, two outcomes, "not run" after a run, a key that runs twice.
RC_GTEST_PROP(request_flow_property, keeps_the_promises_in_any_order_of_events, ())
{
    fake_cluster cluster(2);
    const auto length = *rc::gen::inRange(20, 250);
    for (int i = 0; i < length; ++i) {
        const int what = *rc::gen::inRange(0, 20);
        const auto who = *rc::gen::inRange<std::size_t>(0, 40);
        step(cluster, what, who, *rc::gen::inRange(0, 12));
    }
    cluster.refuse_appends = false;
    cluster.advance(absl::Hours(1));
    for (const std::size_t node : {0U, 1U}) {
        cluster.tick(node);
        cluster.tick(node);
        RC_ASSERT(cluster.flow(node).open_requests() == 0U);
    }
    for (const auto& one : cluster.connections())
        RC_ASSERT(one.closed || one.end.has_value());
    for (const auto& one : cluster.submissions())
        RC_ASSERT(one.outcomes.size() <= 1U);
    RC_ASSERT(cluster.faults() == std::vector<std::string>());
}

// Guards against a stream that is lost with its endpoint: it goes on after the tokens so far.
TEST(request_flow, resumes_midway_on_another_endpoint)
{
    fake_cluster cluster(1);
    const auto caller = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    cluster.fail(*cluster.attempts()[0], result_code::endpoint_lost);
    cluster.advance(absl::Seconds(2));
    cluster.tick(0);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.tokens_so_far, std::vector<std::string>{"r0.0"});
    EXPECT_NE(cluster.attempts()[1]->start.endpoint, cluster.attempts()[0]->start.endpoint);
    run_whole(cluster, *cluster.attempts()[1]);
    const auto& connection = cluster.connections()[caller - 1];
    ASSERT_TRUE(connection.end);
    EXPECT_EQ(connection.end->result, outcome::answered);
    EXPECT_TRUE(cluster.faults().empty());
}

// Guards against late tokens of an attempt that was given up, and against a migration that
// restarts the answer.
TEST(request_flow, moves_a_stream_with_its_cache_from_a_leaving_endpoint)
{
    fake_cluster cluster(1);
    const auto caller = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    leave_endpoint(cluster, *cluster.attempts()[0], absl::Seconds(5));
    ASSERT_EQ(cluster.transfers().size(), 1U);
    cluster.send_token(*cluster.attempts()[0], 1);
    cluster.answer_kv(true);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.tokens_so_far.size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.kv_handle, "kv");
    EXPECT_TRUE(cluster.attempts()[0]->cancelled);
    cluster.send_token(*cluster.attempts()[0], 2);
    EXPECT_EQ(cluster.connections()[caller - 1].tokens.size(), 2U);
    run_whole(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::answered);
    EXPECT_TRUE(cluster.faults().empty());
}

// Guards against a stream that stays on a leaving endpoint because its cache could not be moved.
TEST(request_flow, resumes_from_tokens_when_the_cache_does_not_arrive)
{
    fake_cluster cluster(1);
    cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    leave_endpoint(cluster, *cluster.attempts()[0], absl::Seconds(5));
    cluster.answer_kv(false);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.kv_handle, "");
    EXPECT_EQ(cluster.attempts()[1]->start.tokens_so_far.size(), 1U);
}

// Guards against a second run of a non-idempotent request by a migration.
TEST(request_flow, leaves_a_claimed_request_on_its_leaving_endpoint)
{
    fake_cluster cluster(1);
    cluster.submit(0, "k", minute);
    cluster.commit(0, false);
    cluster.read(0);
    cluster.start(*cluster.attempts()[0]);
    leave_endpoint(cluster, *cluster.attempts()[0], absl::Seconds(1));
    cluster.advance(absl::Seconds(1));
    cluster.tick(0);
    EXPECT_EQ(cluster.attempts().size(), 1U);
    EXPECT_FALSE(cluster.attempts()[0]->cancelled);
}

// Guards against a retry budget that an announced reclaim of a zone has used up.
TEST(request_flow, survives_a_reclaim_that_comes_before_its_plan)
{
    constexpr std::size_t streams = 60;
    fake_cluster cluster(1);
    for (std::size_t i = 0; i < streams; ++i) {
        cluster.submit(0, "", minute);
        cluster.start(*cluster.attempts()[i]);
        cluster.send_token(*cluster.attempts()[i], 0);
    }
    cluster.set_leaving(0, absl::ZeroDuration());
    cluster.set_leaving(2, absl::ZeroDuration());
    for (std::size_t i = 0; i < streams; ++i)
        if (const auto id = cluster.attempts()[i]->start.endpoint.str(); id == "e0" || id == "e2")
            cluster.fail(*cluster.attempts()[i], result_code::endpoint_lost);
    for (std::size_t i = 0; i < cluster.attempts().size(); ++i)
        run_whole(cluster, *cluster.attempts()[i]);
    for (const auto& one : cluster.connections()) {
        ASSERT_TRUE(one.end);
        EXPECT_EQ(one.end->result, outcome::answered);
    }
}

// Guards against a caller that loses its answer with its connection.
TEST(request_flow, keeps_a_stream_for_a_caller_that_comes_back)
{
    fake_cluster cluster(1);
    const auto first = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    cluster.leave(first);
    cluster.send_token(*cluster.attempts()[0], 1);
    const auto second = cluster.resume(first, 0);
    run_whole(cluster, *cluster.attempts()[0]);
    const auto third = cluster.resume(first, 0);
    EXPECT_EQ(cluster.connections()[second - 1].tokens.size(), 3U);
    EXPECT_EQ(cluster.connections()[third - 1].tokens.size(), 3U);
    EXPECT_EQ(cluster.connections()[third - 1].end->result, outcome::answered);
    EXPECT_TRUE(cluster.faults().empty());
}

// Guards against a stream that runs on for nobody.
TEST(request_flow, cancels_when_the_caller_stays_away)
{
    fake_cluster cluster(1);
    cluster.leave(cluster.submit(0, "", minute));
    cluster.advance(absl::Seconds(11));
    cluster.tick(0);
    EXPECT_EQ(cluster.flow(0).open_requests(), 0U);
    EXPECT_TRUE(cluster.attempts()[0]->cancelled);
}

// Guards against a run of a claim that this node gave up while it was paused.
TEST(request_flow, does_not_run_a_claim_read_back_after_its_timeout)
{
    fake_cluster cluster(1);
    const auto caller = cluster.submit(0, "k", minute);
    cluster.commit(0, false);
    cluster.advance(absl::Seconds(4));
    cluster.read(0);
    EXPECT_TRUE(cluster.attempts().empty());
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::unknown);
    // The release frees the key.
    cluster.commit(0, false);
    cluster.read(0);
    cluster.submit(0, "k", minute);
    cluster.commit(0, false);
    cluster.read(0);
    EXPECT_EQ(cluster.attempts().size(), 1U);
}

// Guards against a second run or a lost result when a key is asked for again elsewhere.
TEST(request_flow, answers_a_repeated_key_with_the_stored_result)
{
    fake_cluster cluster(2);
    cluster.submit(0, "k", minute);
    cluster.commit(0, false);
    cluster.read(0);
    run_whole(cluster, *cluster.attempts()[0]);
    cluster.read(1);
    const auto early = cluster.submit(1, "k", minute);
    EXPECT_EQ(cluster.connections()[early - 1].end->result, outcome::unknown);
    cluster.commit(0, false);
    cluster.read(1);
    const auto late = cluster.submit(1, "k", minute);
    EXPECT_EQ(cluster.connections()[late - 1].end->result, outcome::answered);
    EXPECT_EQ(cluster.connections()[late - 1].tokens.size(), fake_cluster::answer_tokens);
    EXPECT_EQ(cluster.attempts().size(), 1U);
}

// Guards against "not run" while an earlier request of the key may have run elsewhere.
TEST(request_flow, tells_unknown_when_the_log_takes_no_claim)
{
    fake_cluster cluster(1);
    cluster.refuse_appends = true;
    const auto caller = cluster.submit(0, "k", minute);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::unknown);
    EXPECT_EQ(cluster.connections()[caller - 1].end->reason.code, result_code::claim_unavailable);
    EXPECT_TRUE(cluster.attempts().empty());
}

// Guards against a drain that cuts off a stream: it moves to a peer with its tokens.
TEST(request_flow, hands_the_remaining_streams_to_a_peer)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    cluster.give(0, drain_requested{});
    EXPECT_TRUE(cluster.delisted);
    for (const int seconds : {6, 11}) {
        cluster.advance(absl::Seconds(seconds));
        cluster.tick(0);
    }
    const auto refused = cluster.submit(0, "", minute);
    EXPECT_EQ(cluster.connections()[refused - 1].end->result, outcome::not_run);
    ASSERT_EQ(cluster.hand_offs().size(), 1U);
    const hand_off_stream order = cluster.hand_offs()[0];
    cluster.give(1, stream_taken_over{.stream = order.stream, .prefix = {}});
    cluster.give(0, hand_off_answered{
                        .request = order.stream.request, .peer = order.peer_http, .taken = true});
    EXPECT_EQ(cluster.connections()[caller - 1].moved, order.peer_http);
    const auto again = cluster.resume(caller, 1);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    run_whole(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[again - 1].end->result, outcome::answered);
    EXPECT_FALSE(cluster.stopped);
    cluster.tick(0);
    EXPECT_TRUE(cluster.stopped);
    EXPECT_TRUE(cluster.faults().empty());
}

// Guards against an answer that is lost with the node because its caller was away at the end.
TEST(request_flow, hands_an_answer_that_nobody_read_to_a_peer_before_the_stop)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", minute);
    cluster.leave(caller);
    run_whole(cluster, *cluster.attempts()[0]);
    cluster.give(0, drain_requested{});
    cluster.advance(absl::Seconds(6));
    cluster.tick(0);
    cluster.tick(0);
    ASSERT_EQ(cluster.hand_offs().size(), 1U);
    EXPECT_FALSE(cluster.stopped);
    const hand_off_stream order = cluster.hand_offs()[0];
    cluster.give(1, stream_taken_over{.stream = order.stream, .prefix = {}});
    cluster.give(0, hand_off_answered{
                        .request = order.stream.request, .peer = order.peer_http, .taken = true});
    cluster.tick(0);
    EXPECT_TRUE(cluster.stopped);
    const auto again = cluster.resume(caller, 1);
    EXPECT_EQ(cluster.connections()[again - 1].tokens.size(), fake_cluster::answer_tokens);
    EXPECT_EQ(cluster.connections()[again - 1].end->result, outcome::answered);
}

// Guards against a peer that refuses: the stream goes on where it is.
TEST(request_flow, goes_on_when_no_peer_takes_the_stream)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", absl::Hours(1));
    cluster.start(*cluster.attempts()[0]);
    cluster.give(0, drain_requested{});
    for (const int seconds : {6, 11}) {
        cluster.advance(absl::Seconds(seconds));
        cluster.tick(0);
    }
    for (std::size_t i = 0; i < cluster.hand_offs().size() && i < 9; ++i)
        cluster.give(0, hand_off_answered{.request = cluster.hand_offs()[i].stream.request,
                                          .peer = {},
                                          .taken = false});
    ASSERT_EQ(cluster.attempts().size(), 2U);
    run_whole(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::answered);
}

// Guards against evidence that is missing, counted twice or blames a version for a reclaim.
TEST(request_flow, gives_one_sample_for_each_finished_attempt)
{
    fake_cluster cluster(1);
    cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.fail(*cluster.attempts()[0], result_code::endpoint_failed);
    cluster.advance(absl::Seconds(2));
    cluster.tick(0);
    run_whole(cluster, *cluster.attempts()[1]);
    ASSERT_EQ(cluster.samples().size(), 2U);
    EXPECT_TRUE(cluster.samples()[0].failed);
    EXPECT_FALSE(cluster.samples()[1].failed);
    EXPECT_FALSE(cluster.samples()[1].slow);
}
