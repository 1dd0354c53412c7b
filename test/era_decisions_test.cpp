#include "chivedeal/era/answer_check.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/era/order_history.hpp"
#include "chivedeal/era/plan_archive.hpp"
#include "chivedeal/era/position.hpp"
#include "chivedeal/era/report_guard.hpp"
#include "chivedeal/forward/control_log.hpp"
#include "chivedeal/forward/duty_lease.hpp"
#include "chivedeal/forward/peer_codec.hpp"
#include "chivedeal/forward/topic_tail.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace chivedeal::era {
namespace {

using forward::control_log;
using forward::duty_lease;
using forward::relayed_batch;
using forward::rollout_order;
using forward::topic_tail;
using forward::usage_report;
using verdict = order_history::verdict;

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Duration term = absl::Seconds(3);

// Guards against a token that is lower than an earlier one after offsets are reused, and against
// changed tokens on stores without epochs.
RC_GTEST_PROP(position, rises_with_the_epoch_and_equals_the_offset_without, ())
{
    const auto a = *rc::gen::inRange<std::uint64_t>(0, 1ULL << offset_bits);
    const auto b = *rc::gen::inRange<std::uint64_t>(0, 1ULL << offset_bits);
    const auto epoch = *rc::gen::inRange<std::uint64_t>(0, 8191);
    RC_ASSERT(make_position(0, a) == a);
    RC_ASSERT(make_position(epoch, a) < make_position(epoch + 1, b));
    RC_ASSERT(make_position(epoch + 1, b) < (1ULL << 53));
    RC_ASSERT(offset_of(make_position(epoch, a)) == a);
}

// Guards against records of another epoch that are applied at a reused offset.
TEST(answer_check, accepts_only_the_epoch_of_the_position)
{
    EXPECT_EQ(check_answer(0, 0, 0), answer_kind::current);
    EXPECT_EQ(check_answer(2, 2, 2), answer_kind::current);
    EXPECT_EQ(check_answer(2, 1, 2), answer_kind::restored);
    EXPECT_EQ(check_answer(1, 1, 2), answer_kind::outdated);
    EXPECT_EQ(check_answer(1, 2, 2), answer_kind::outdated);
}

TEST(epoch_register, keeps_the_highest_epoch)
{
    epoch_register epochs;
    EXPECT_TRUE(epochs.note(3));
    EXPECT_FALSE(epochs.note(3));
    EXPECT_FALSE(epochs.note(1));
    EXPECT_EQ(epochs.newest(), 3U);
}

relayed_batch make_batch(std::uint64_t epoch, std::uint64_t begin, std::uint64_t end)
{
    return {.begin_offset = begin, .end_offset = end, .complete = true, .epoch = epoch};
}

// Guards against a position that is carried into the next epoch, and against relayed batches of
// another epoch that happen to be contiguous.
TEST(topic_tail, position_is_valid_within_its_epoch)
{
    topic_tail tail({.self = node_id("n5")});
    EXPECT_TRUE(tail.begin_epoch(1));
    tail.on_own_read(10);
    EXPECT_FALSE(tail.on_relay(make_batch(2, 10, 12), start));
    EXPECT_FALSE(tail.on_relay(make_batch(0, 10, 12), start));
    EXPECT_EQ(tail.next_offset(), 10U);
    EXPECT_FALSE(tail.begin_epoch(1));
    EXPECT_EQ(tail.next_offset(), 10U);
    EXPECT_TRUE(tail.on_relay(make_batch(1, 10, 12), start));
    EXPECT_TRUE(tail.begin_epoch(2));
    EXPECT_EQ(tail.next_offset(), std::nullopt);
    EXPECT_TRUE(tail.must_read(start));
}

rollout_order make_order(const char* target, std::uint64_t offset)
{
    return {.service = service_id("s"),
            .target = version_id(target),
            .duration = absl::Seconds(30),
            .offset = offset};
}

// Guards against a completed roll-out that starts again because its order was written again.
TEST(order_history, recognises_an_order_that_is_written_again)
{
    order_history orders;
    EXPECT_EQ(orders.on_order("s", make_order("v1", 5), start), verdict::ordered);
    EXPECT_EQ(orders.on_order("s", make_order("v1", 5), start), verdict::ignored);
    EXPECT_EQ(orders.on_order("s", make_order("v2", 9), start), verdict::ordered);
    orders.on_restored(start);
    // The older copy holds the order before; the operator then writes the lost one again.
    EXPECT_EQ(orders.on_order("s", make_order("v1", 5), start), verdict::ignored);
    EXPECT_EQ(orders.on_order("s", make_order("v2", 7), start), verdict::rewritten);
    EXPECT_EQ(orders.on_order("s", make_order("v2", 8), start), verdict::ordered);
}

// Guards against a new order at a reused offset that is taken for an old one.
TEST(order_history, new_order_at_a_reused_offset_takes_effect)
{
    order_history orders;
    orders.on_order("s", make_order("v1", 5), start);
    orders.on_restored(start);
    EXPECT_EQ(orders.on_order("s", make_order("v3", 2), start), verdict::ordered);
}

// Guards against a repeated order that is ignored long after a restoration.
TEST(order_history, repeated_order_takes_effect_after_the_rewrite_time)
{
    order_history orders;
    orders.on_order("s", make_order("v1", 5), start);
    orders.on_restored(start);
    EXPECT_EQ(orders.on_order("s", make_order("v1", 5), start + absl::Seconds(10)),
              verdict::ordered);
}

usage_report make_report(std::int64_t window, std::int64_t count)
{
    return {.window = window, .counts = {{workspace_id("w"), count}}};
}

// Guards against a second plan with other counts, made after the store lost the first one.
TEST(plan_archive, plan_of_the_earliest_epoch_counts)
{
    plan_archive known;
    known.add({.report = make_report(7, 10), .epoch = 2});
    known.add({.report = make_report(7, 12), .epoch = 2});
    EXPECT_EQ(known.find(7)->report, make_report(7, 10));
    known.add({.report = make_report(7, 9), .epoch = 1});
    EXPECT_EQ(known.find(7)->report, make_report(7, 9));
    plan_archive stored;
    stored.add({.report = make_report(7, 10), .epoch = 2});
    EXPECT_EQ(known.missing_from(stored).size(), 1U);
    stored.add({.report = make_report(7, 9), .epoch = 1});
    EXPECT_TRUE(known.missing_from(stored).empty());
}

// Guards against partial counts from a process that replaced the one that reported the window.
TEST(report_guard, withholds_windows_that_a_lost_plan_may_cover)
{
    report_guard guard(start);
    EXPECT_FALSE(guard.may_be_reported(start - absl::Seconds(1)));
    guard.on_epoch(start);
    guard.on_first_read(false);
    EXPECT_FALSE(guard.may_plan(start + absl::Seconds(1)));
    EXPECT_TRUE(guard.may_plan(start + absl::Seconds(2)));
    EXPECT_TRUE(guard.may_be_reported(start - absl::Seconds(1)));
    EXPECT_FALSE(guard.may_be_reported(start + absl::Seconds(1)));
    guard.on_first_read(true);
    EXPECT_FALSE(guard.may_be_reported(start - absl::Seconds(1)));
}

duty_lease make_holder()
{
    duty_lease lease({.self = node_id("n1"), .term = term}, start);
    lease.tick(start);
    lease.on_read(node_id("n1"), 7, 8, start);
    lease.tick(start);
    lease.on_granted(8, start);
    return lease;
}

// Guards against a holder that keeps a token of an earlier epoch, which the platform accepts until
// another node gets a higher one.
TEST(duty_lease, holder_grants_itself_the_lease_again_after_a_restoration)
{
    duty_lease lease = make_holder();
    EXPECT_EQ(lease.held_token(start), 8U);
    lease.on_restored();
    EXPECT_EQ(lease.held_token(start), std::nullopt);
    EXPECT_EQ(lease.tick(start), duty_lease::action::read);
    lease.on_read(node_id("n2"), 3, 4, start);
    EXPECT_EQ(lease.tick(start), duty_lease::action::append);
    EXPECT_EQ(lease.expected_end(), 4U);
    lease.on_granted(make_position(1, 4), start);
    EXPECT_EQ(lease.held_token(start), make_position(1, 4));
}

// Guards against two holders when another node was faster.
TEST(duty_lease, holder_yields_to_a_grant_of_the_new_epoch)
{
    duty_lease lease = make_holder();
    lease.on_restored();
    EXPECT_EQ(lease.tick(start), duty_lease::action::read);
    lease.on_read(node_id("n2"), make_position(1, 3), 4, start);
    EXPECT_EQ(lease.held_token(start), std::nullopt);
    EXPECT_EQ(lease.tick(start + absl::Milliseconds(250)), duty_lease::action::none);
}

// Guards against a grant that was requested in one epoch and appended in the next: its token is
// lower than that of the newest grant.
TEST(control_log, grant_keeps_the_token_of_its_epoch)
{
    control_log log;
    log.begin_epoch(2);
    log.apply({.records = {{.value = control_log::encode_grant(node_id("n1"), 2), .offset = 4},
                           {.value = control_log::encode_grant(node_id("n2"), 1), .offset = 5}},
               .next_offset = 6});
    EXPECT_EQ(log.holder(), node_id("n1"));
    EXPECT_EQ(log.holder_token(), make_position(2, 4));
}

// Guards against changed records on stores without epochs.
TEST(control_log, records_without_an_epoch_are_unchanged)
{
    EXPECT_EQ(control_log::encode_grant(node_id("n1")), R"({"holder":"n1"})");
    EXPECT_EQ(control_log::encode_report(make_report(3, 4)), R"({"counts":{"w":4},"window":3})");
    control_log log;
    log.apply({.records = {{.value = R"({"holder":"n1"})", .offset = 41}}, .next_offset = 42});
    EXPECT_EQ(log.holder_token(), 41U);
}

TEST(peer_codec, restores_epochs_and_planned_reports)
{
    const forward::node_beacon beacon{
        .node = node_id("n2"),
        .front_address = {.host = "127.0.0.1", .port = 7},
        .peer_address = {.host = "127.0.0.1", .port = 7},
        .store_epoch = 4,
        .planned_reports = {{.report = make_report(3, 4), .epoch = 3}}};
    const auto decoded = forward::decode_message(forward::encode_message(beacon));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(std::get<forward::node_beacon>(get_value(decoded)), beacon);
    const relayed_batch batch = make_batch(5, 1, 2);
    const auto decoded_batch = forward::decode_message(forward::encode_message(batch));
    ASSERT_TRUE(is_ok(decoded_batch));
    EXPECT_EQ(std::get<relayed_batch>(get_value(decoded_batch)), batch);
}

} // namespace
} // namespace chivedeal::era
