#include "chivedeal/forward/duty_lease.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Duration term = absl::Seconds(3);

duty_lease make_lease() { return duty_lease({.self = node_id("n1"), .term = term}, start); }

// Ticks at the interval of the control duty until an action is due.
duty_lease::action tick_until_action(duty_lease& lease, absl::Time from, absl::Time to)
{
    for (absl::Time now = from; now <= to; now += absl::Milliseconds(250)) {
        const auto action = lease.tick(now);
        if (action != duty_lease::action::none)
            return action;
    }
    return duty_lease::action::none;
}

duty_lease make_holder()
{
    duty_lease lease = make_lease();
    lease.tick(start);
    lease.on_read(std::nullopt, 0, 7, start);
    tick_until_action(lease, start, start + term);
    lease.on_read(std::nullopt, 0, 7, start + term);
    lease.tick(start + term);
    lease.on_granted(7, start + term);
    return lease;
}

// Guards against a wait at the start of a whole system, which kept on-demand endpoints running three
// seconds longer than needed.
TEST(duty_lease, requests_a_never_granted_lease_immediately)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::action::read);
    lease.on_read(std::nullopt, 0, 0, start);
    EXPECT_EQ(lease.tick(start), duty_lease::action::append);
}

// Guards against a restart of all processes after which no node acted for two terms.
TEST(duty_lease, restarted_holder_requests_the_lease_immediately)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::action::read);
    lease.on_read(node_id("n1"), 5, 6, start);
    EXPECT_EQ(lease.tick(start), duty_lease::action::append);
    EXPECT_EQ(lease.held_token(start), std::nullopt);
}

// Guards against all nodes requesting a free lease at once: with 89 nodes, all of them read the
// topic and 73 appends failed.
TEST(duty_lease, does_not_read_after_a_beacon_from_a_new_holder)
{
    duty_lease lease({.self = node_id("n1"), .term = term, .stagger = absl::Milliseconds(500)},
                     start);
    EXPECT_EQ(lease.tick(start), duty_lease::action::none);
    lease.on_holder_beacon(0, start + absl::Milliseconds(250));
    EXPECT_EQ(tick_until_action(lease, start + absl::Milliseconds(250), start + term),
              duty_lease::action::none);
    EXPECT_EQ(tick_until_action(lease, start + term, start + term + absl::Seconds(1)),
              duty_lease::action::read);
}

TEST(duty_lease, waits_a_term_then_reads_and_appends)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::action::read);
    // Grants before the topic's end have expired from it, and their holder may still be alive.
    lease.on_read(std::nullopt, 0, 7, start);
    EXPECT_EQ(tick_until_action(lease, start, start + absl::Milliseconds(2750)),
              duty_lease::action::none);
    EXPECT_EQ(lease.tick(start + term), duty_lease::action::read);
    lease.on_read(std::nullopt, 0, 7, start + term);
    EXPECT_EQ(lease.tick(start + term), duty_lease::action::append);
    EXPECT_EQ(lease.expected_end(), 7U);
    lease.on_granted(7, start + term);
    EXPECT_EQ(lease.held_token(start + term), 7U);
}

// A grant that is new to this node belongs to a holder that may be about to act.
TEST(duty_lease, waits_again_after_it_reads_a_new_grant)
{
    duty_lease lease = make_lease();
    lease.tick(start);
    lease.on_read(node_id("n2"), 4, 5, start);
    tick_until_action(lease, start, start + term);
    lease.on_read(node_id("n2"), 5, 6, start + term);
    EXPECT_EQ(tick_until_action(lease, start + term, start + term + absl::Milliseconds(2500)),
              duty_lease::action::none);
}

TEST(duty_lease, does_not_request_the_lease_of_a_live_holder)
{
    duty_lease lease = make_lease();
    for (int i = 1; i < 40; ++i) {
        const absl::Time now = start + absl::Milliseconds(250) * i;
        lease.on_holder_beacon(5, now);
        EXPECT_EQ(lease.tick(now), duty_lease::action::none);
    }
}

// Guards against a paused process that acts after another node has taken over the lease.
TEST(duty_lease, paused_holder_rereads_the_lease_before_acting)
{
    duty_lease lease = make_holder();
    const absl::Time resumed_at = start + term + absl::Seconds(4);
    EXPECT_EQ(lease.held_token(resumed_at), std::nullopt);
    EXPECT_EQ(lease.tick(resumed_at), duty_lease::action::read);
    EXPECT_EQ(lease.held_token(resumed_at), std::nullopt);
    lease.on_read(node_id("n2"), 9, 10, resumed_at);
    EXPECT_EQ(lease.held_token(resumed_at), std::nullopt);
}

TEST(duty_lease, paused_holder_keeps_a_lease_that_was_not_taken_over)
{
    duty_lease lease = make_holder();
    const absl::Time resumed_at = start + term + absl::Seconds(4);
    lease.tick(resumed_at);
    lease.on_read(node_id("n1"), 7, 8, resumed_at);
    EXPECT_EQ(lease.held_token(resumed_at), 7U);
}

// Guards against holders alternating A, B, A within a term, which is not allowed.
TEST(duty_lease, does_not_reacquire_a_lost_lease_within_a_term)
{
    duty_lease lease = make_holder();
    const absl::Time lost_at = start + term + absl::Milliseconds(250);
    lease.on_holder_beacon(9, lost_at);
    EXPECT_EQ(lease.held_token(lost_at), std::nullopt);
    EXPECT_EQ(tick_until_action(lease, lost_at, lost_at + absl::Milliseconds(2750)),
              duty_lease::action::none);
}

TEST(duty_lease, ignores_a_peer_with_an_older_token)
{
    duty_lease lease = make_holder();
    lease.on_holder_beacon(3, start + term);
    EXPECT_EQ(lease.held_token(start + term), 7U);
}

TEST(duty_lease, released_node_does_not_request_the_lease)
{
    duty_lease lease = make_lease();
    lease.release();
    EXPECT_EQ(tick_until_action(lease, start, start + absl::Seconds(10)), duty_lease::action::none);
}

} // namespace
} // namespace chivedeal::forward
