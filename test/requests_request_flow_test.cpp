#include "chivedeal/requests/request_flow.hpp"

#include "fakes/fake_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)
using fakes::fake_cluster;

namespace {

constexpr absl::Duration minute = absl::Minutes(1);

void run_to_completion(fake_cluster& cluster, fake_cluster::attempt& current)
{
    cluster.start(current);
    for (std::uint64_t position = current.position; position < fake_cluster::answer_tokens;
         ++position)
        cluster.send_token(current, position);
    cluster.end(current);
}

void mark_endpoint_leaving(fake_cluster& cluster, const fake_cluster::attempt& current,
                           absl::Duration left)
{
    cluster.mark_leaving(static_cast<std::size_t>(current.start.endpoint.str()[1] - '0'), left);
}

// Applies one event. `action` selects its kind, `selector` the node, attempt and caller, and
// `parameter` varies its details.
void apply_random_event(fake_cluster& cluster, int action, std::size_t selector, int parameter)
{
    const std::size_t node = selector % 2;
    auto& attempts = cluster.attempts();
    fake_cluster::attempt* current =
        attempts.empty() ? nullptr : attempts[selector % attempts.size()].get();
    const std::size_t callers = cluster.connections().size();
    const std::size_t caller = callers == 0 ? 0 : selector % callers + 1;
    const bool connected = caller != 0 && !cluster.connections()[caller - 1].closed &&
                           !cluster.connections()[caller - 1].end;
    switch (action) {
    case 0:
        cluster.submit(node, parameter % 3 == 0 ? "" : absl::StrCat("k", parameter % 3),
                       absl::Milliseconds(200 + 300 * parameter));
        return;
    case 1:
    case 2:
        if (current != nullptr)
            cluster.start(*current);
        return;
    case 3:
    case 4:
    case 5:
        if (current != nullptr)
            cluster.send_token(*current, current->position);
        return;
    case 6:
        // Below the next position this is a duplicate, above it a skipped token.
        if (current != nullptr)
            cluster.send_token(*current,
                               static_cast<std::uint64_t>(parameter) % fake_cluster::answer_tokens);
        return;
    case 7:
        if (current != nullptr)
            run_to_completion(cluster, *current);
        return;
    case 8:
        if (current != nullptr)
            cluster.fail(*current, parameter % 3 == 0   ? result_code::endpoint_not_started
                                   : parameter % 3 == 1 ? result_code::endpoint_failed
                                                        : result_code::endpoint_lost);
        return;
    case 9:
        cluster.commit_append(selector, parameter % 4 == 0);
        return;
    case 10:
    case 11:
        cluster.read(node);
        return;
    case 12:
        // No tick follows, as on a paused node.
        cluster.advance(absl::Milliseconds(parameter % 5 == 0 ? 4000 : 40 * parameter));
        return;
    case 13:
        cluster.tick(node);
        return;
    case 14:
        if (connected)
            cluster.disconnect(caller);
        return;
    case 15:
        if (caller != 0 && !cluster.connections()[caller - 1].end)
            cluster.resume(caller, cluster.connections()[caller - 1].node);
        return;
    case 16:
        if (connected && parameter % 4 == 0)
            cluster.cancel(caller);
        return;
    case 17:
        if (parameter % 4 == 0)
            cluster.mark_leaving(selector % 3, absl::Seconds(parameter));
        else
            cluster.complete_kv_move(parameter % 2 == 0);
        return;
    case 18:
        if (current != nullptr)
            cluster.send_crossed_token(*current);
        return;
    default:
        cluster.refuse_appends = parameter % 4 == 0;
    }
}

} // namespace

// Guards against violations of the guarantees to callers: an answer with a missing token or a token
// of another request, two outcomes, "not run" after a run, a key that runs twice.
RC_GTEST_PROP(request_flow_property, upholds_guarantees_under_random_events, ())
{
    fake_cluster cluster(2);
    const auto length = *rc::gen::inRange(20, 250);
    for (int i = 0; i < length; ++i) {
        const int action = *rc::gen::inRange(0, 20);
        const auto selector = *rc::gen::inRange<std::size_t>(0, 40);
        apply_random_event(cluster, action, selector, *rc::gen::inRange(0, 12));
    }
    cluster.refuse_appends = false;
    cluster.advance(absl::Hours(1));
    for (const std::size_t node : {0U, 1U}) {
        cluster.tick(node);
        cluster.tick(node);
        RC_ASSERT(cluster.flow(node).open_requests() == 0U);
    }
    for (const auto& connection : cluster.connections())
        RC_ASSERT(connection.closed || connection.end.has_value());
    for (const auto& submission : cluster.submissions())
        RC_ASSERT(submission.outcomes.size() <= 1U);
    RC_ASSERT(cluster.violations() == std::vector<std::string>());
}

// Guards against losing a stream with its endpoint: it must continue after the tokens sent so far.
TEST(request_flow, resumes_lost_stream_on_another_endpoint)
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
    run_to_completion(cluster, *cluster.attempts()[1]);
    const auto& connection = cluster.connections()[caller - 1];
    ASSERT_TRUE(connection.end);
    EXPECT_EQ(connection.end->result, outcome::answered);
    EXPECT_TRUE(cluster.violations().empty());
}

// Guards against forwarding late tokens of a replaced attempt, and against a migration that
// restarts the answer.
TEST(request_flow, migrates_stream_with_kv_cache_from_leaving_endpoint)
{
    fake_cluster cluster(1);
    const auto caller = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    mark_endpoint_leaving(cluster, *cluster.attempts()[0], absl::Seconds(5));
    ASSERT_EQ(cluster.kv_moves().size(), 1U);
    cluster.send_token(*cluster.attempts()[0], 1);
    cluster.complete_kv_move(true);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.tokens_so_far.size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.kv_handle, "kv");
    EXPECT_TRUE(cluster.attempts()[0]->cancelled);
    cluster.send_token(*cluster.attempts()[0], 2);
    EXPECT_EQ(cluster.connections()[caller - 1].tokens.size(), 2U);
    run_to_completion(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::answered);
    EXPECT_TRUE(cluster.violations().empty());
}

// Guards against a stream that stays on a leaving endpoint because its KV cache transfer failed.
TEST(request_flow, resumes_from_tokens_if_kv_transfer_fails)
{
    fake_cluster cluster(1);
    cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    mark_endpoint_leaving(cluster, *cluster.attempts()[0], absl::Seconds(5));
    cluster.complete_kv_move(false);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    EXPECT_EQ(cluster.attempts()[1]->start.kv_handle, "");
    EXPECT_EQ(cluster.attempts()[1]->start.tokens_so_far.size(), 1U);
}

// Guards against a migration that runs a non-idempotent request a second time.
TEST(request_flow, does_not_migrate_non_idempotent_request)
{
    fake_cluster cluster(1);
    cluster.submit(0, "k", minute);
    cluster.commit_append(0, false);
    cluster.read(0);
    cluster.start(*cluster.attempts()[0]);
    mark_endpoint_leaving(cluster, *cluster.attempts()[0], absl::Seconds(1));
    cluster.advance(absl::Seconds(1));
    cluster.tick(0);
    EXPECT_EQ(cluster.attempts().size(), 1U);
    EXPECT_FALSE(cluster.attempts()[0]->cancelled);
}

// Guards against streams that fail because an announced reclaim of a zone, which ends them before
// they are migrated, exhausts the retry budget.
TEST(request_flow, does_not_charge_reclaimed_streams_to_retry_budget)
{
    constexpr std::size_t streams = 60;
    fake_cluster cluster(1);
    for (std::size_t i = 0; i < streams; ++i) {
        cluster.submit(0, "", minute);
        cluster.start(*cluster.attempts()[i]);
        cluster.send_token(*cluster.attempts()[i], 0);
    }
    cluster.mark_leaving(0, absl::ZeroDuration());
    cluster.mark_leaving(2, absl::ZeroDuration());
    for (std::size_t i = 0; i < streams; ++i)
        if (const auto id = cluster.attempts()[i]->start.endpoint.str(); id == "e0" || id == "e2")
            cluster.fail(*cluster.attempts()[i], result_code::endpoint_lost);
    for (std::size_t i = 0; i < cluster.attempts().size(); ++i)
        run_to_completion(cluster, *cluster.attempts()[i]);
    for (const auto& connection : cluster.connections()) {
        ASSERT_TRUE(connection.end);
        EXPECT_EQ(connection.end->result, outcome::answered);
    }
}

// Guards against losing the answer together with the caller's connection.
TEST(request_flow, resends_tokens_to_reconnected_caller)
{
    fake_cluster cluster(1);
    const auto first = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    cluster.disconnect(first);
    cluster.send_token(*cluster.attempts()[0], 1);
    const auto second = cluster.resume(first, 0);
    run_to_completion(cluster, *cluster.attempts()[0]);
    const auto third = cluster.resume(first, 0);
    EXPECT_EQ(cluster.connections()[second - 1].tokens.size(), 3U);
    EXPECT_EQ(cluster.connections()[third - 1].tokens.size(), 3U);
    EXPECT_EQ(cluster.connections()[third - 1].end->result, outcome::answered);
    EXPECT_TRUE(cluster.violations().empty());
}

// Guards against a stream that keeps running although its caller does not reconnect.
TEST(request_flow, cancels_request_after_resume_window)
{
    fake_cluster cluster(1);
    cluster.disconnect(cluster.submit(0, "", minute));
    cluster.advance(absl::Seconds(11));
    cluster.tick(0);
    EXPECT_EQ(cluster.flow(0).open_requests(), 0U);
    EXPECT_TRUE(cluster.attempts()[0]->cancelled);
}

// Guards against running a request whose claim timed out while the node was paused.
TEST(request_flow, does_not_run_claim_read_back_after_timeout)
{
    fake_cluster cluster(1);
    const auto caller = cluster.submit(0, "k", minute);
    cluster.commit_append(0, false);
    cluster.advance(absl::Seconds(4));
    cluster.read(0);
    EXPECT_TRUE(cluster.attempts().empty());
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::unknown);
    // The release frees the key.
    cluster.commit_append(0, false);
    cluster.read(0);
    cluster.submit(0, "k", minute);
    cluster.commit_append(0, false);
    cluster.read(0);
    EXPECT_EQ(cluster.attempts().size(), 1U);
}

// Guards against a second run or a lost result when a key is sent again to another node.
TEST(request_flow, answers_repeated_key_with_stored_result)
{
    fake_cluster cluster(2);
    cluster.submit(0, "k", minute);
    cluster.commit_append(0, false);
    cluster.read(0);
    run_to_completion(cluster, *cluster.attempts()[0]);
    cluster.read(1);
    const auto before_result = cluster.submit(1, "k", minute);
    EXPECT_EQ(cluster.connections()[before_result - 1].end->result, outcome::unknown);
    cluster.commit_append(0, false);
    cluster.read(1);
    const auto after_result = cluster.submit(1, "k", minute);
    EXPECT_EQ(cluster.connections()[after_result - 1].end->result, outcome::answered);
    EXPECT_EQ(cluster.connections()[after_result - 1].tokens.size(), fake_cluster::answer_tokens);
    EXPECT_EQ(cluster.attempts().size(), 1U);
}

// Guards against reporting "not run" while an earlier request with the key may have run elsewhere.
TEST(request_flow, reports_unknown_if_claim_is_refused)
{
    fake_cluster cluster(1);
    cluster.refuse_appends = true;
    const auto caller = cluster.submit(0, "k", minute);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::unknown);
    EXPECT_EQ(cluster.connections()[caller - 1].end->reason.code, result_code::claim_unavailable);
    EXPECT_TRUE(cluster.attempts().empty());
}

// Guards against a drain that interrupts a stream: it must move to a peer with its tokens.
TEST(request_flow, hands_off_open_streams_to_peer)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.send_token(*cluster.attempts()[0], 0);
    cluster.deliver(0, drain_requested{});
    EXPECT_TRUE(cluster.delisted);
    for (const int seconds : {6, 11}) {
        cluster.advance(absl::Seconds(seconds));
        cluster.tick(0);
    }
    const auto refused = cluster.submit(0, "", minute);
    EXPECT_EQ(cluster.connections()[refused - 1].end->result, outcome::not_run);
    ASSERT_EQ(cluster.hand_offs().size(), 1U);
    const hand_off_stream offer = cluster.hand_offs()[0];
    cluster.deliver(1, stream_received{.stream = offer.stream, .prefix = {}});
    cluster.deliver(0, hand_off_answered{.request = offer.stream.request,
                                         .peer = offer.peer_http,
                                         .accepted = true});
    EXPECT_EQ(cluster.connections()[caller - 1].moved, offer.peer_http);
    const auto resumed = cluster.resume(caller, 1);
    ASSERT_EQ(cluster.attempts().size(), 2U);
    run_to_completion(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[resumed - 1].end->result, outcome::answered);
    EXPECT_FALSE(cluster.stopped);
    cluster.tick(0);
    EXPECT_TRUE(cluster.stopped);
    EXPECT_TRUE(cluster.violations().empty());
}

// Guards against losing an answer with the node because its caller was disconnected when it
// finished.
TEST(request_flow, hands_off_undelivered_answer_before_stopping)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", minute);
    cluster.disconnect(caller);
    run_to_completion(cluster, *cluster.attempts()[0]);
    cluster.deliver(0, drain_requested{});
    cluster.advance(absl::Seconds(6));
    cluster.tick(0);
    cluster.tick(0);
    ASSERT_EQ(cluster.hand_offs().size(), 1U);
    EXPECT_FALSE(cluster.stopped);
    const hand_off_stream offer = cluster.hand_offs()[0];
    cluster.deliver(1, stream_received{.stream = offer.stream, .prefix = {}});
    cluster.deliver(0, hand_off_answered{.request = offer.stream.request,
                                         .peer = offer.peer_http,
                                         .accepted = true});
    cluster.tick(0);
    EXPECT_TRUE(cluster.stopped);
    const auto resumed = cluster.resume(caller, 1);
    EXPECT_EQ(cluster.connections()[resumed - 1].tokens.size(), fake_cluster::answer_tokens);
    EXPECT_EQ(cluster.connections()[resumed - 1].end->result, outcome::answered);
}

// Guards against losing a stream that all peers refuse: it must continue on this node.
TEST(request_flow, resumes_locally_if_no_peer_accepts_stream)
{
    fake_cluster cluster(2);
    const auto caller = cluster.submit(0, "", absl::Hours(1));
    cluster.start(*cluster.attempts()[0]);
    cluster.deliver(0, drain_requested{});
    for (const int seconds : {6, 11}) {
        cluster.advance(absl::Seconds(seconds));
        cluster.tick(0);
    }
    for (std::size_t i = 0; i < cluster.hand_offs().size() && i < 9; ++i)
        cluster.deliver(0, hand_off_answered{.request = cluster.hand_offs()[i].stream.request,
                                             .peer = {},
                                             .accepted = false});
    ASSERT_EQ(cluster.attempts().size(), 2U);
    run_to_completion(cluster, *cluster.attempts()[1]);
    EXPECT_EQ(cluster.connections()[caller - 1].end->result, outcome::answered);
}

// Guards against samples that are missing or reported twice, and against counting a reclaim as a
// failure of the version.
TEST(request_flow, reports_one_sample_per_finished_attempt)
{
    fake_cluster cluster(1);
    cluster.submit(0, "", minute);
    cluster.start(*cluster.attempts()[0]);
    cluster.fail(*cluster.attempts()[0], result_code::endpoint_failed);
    cluster.advance(absl::Seconds(2));
    cluster.tick(0);
    run_to_completion(cluster, *cluster.attempts()[1]);
    ASSERT_EQ(cluster.samples().size(), 2U);
    EXPECT_TRUE(cluster.samples()[0].failed);
    EXPECT_FALSE(cluster.samples()[1].failed);
    EXPECT_FALSE(cluster.samples()[1].slow);
}
