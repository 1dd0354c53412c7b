#include "chivedeal/forward/duty_lease.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Duration term = absl::Seconds(3);

duty_lease make_lease() { return duty_lease({.self = node_id("n1"), .term = term}, start); }

// Ticks as often as a duty does, from `from` on, until a step is due.
duty_lease::step tick_until_step(duty_lease& lease, absl::Time from, absl::Time to)
{
    for (absl::Time now = from; now <= to; now += absl::Milliseconds(250)) {
        const auto step = lease.tick(now);
        if (step != duty_lease::step::none)
            return step;
    }
    return duty_lease::step::none;
}

duty_lease make_holder()
{
    duty_lease lease = make_lease();
    lease.tick(start);
    lease.on_read(std::nullopt, 0, 7, start);
    tick_until_step(lease, start, start + term);
    lease.on_read(std::nullopt, 0, 7, start + term);
    lease.tick(start + term);
    lease.on_granted(7, start + term);
    return lease;
}

// On-demand endpoints stood three seconds longer than needed at each start of a whole system.
TEST(duty_lease, asks_at_once_for_a_lease_that_nobody_ever_held)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::step::read);
    lease.on_read(std::nullopt, 0, 0, start);
    EXPECT_EQ(lease.tick(start), duty_lease::step::append);
}

// After all processes were killed the duties stood still for two terms.
TEST(duty_lease, a_restarted_holder_asks_at_once)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::step::read);
    lease.on_read(node_id("n1"), 5, 6, start);
    EXPECT_EQ(lease.tick(start), duty_lease::step::append);
    EXPECT_EQ(lease.held(start), std::nullopt);
}

// All of 89 nodes read the lease and 73 appends failed whenever it was free.
TEST(duty_lease, a_node_that_hears_of_a_holder_before_its_turn_reads_nothing)
{
    duty_lease lease({.self = node_id("n1"), .term = term, .stagger = absl::Milliseconds(500)},
                     start);
    EXPECT_EQ(lease.tick(start), duty_lease::step::none);
    lease.on_peer_holds(0, start + absl::Milliseconds(250));
    EXPECT_EQ(tick_until_step(lease, start + absl::Milliseconds(250), start + term),
              duty_lease::step::none);
    EXPECT_EQ(tick_until_step(lease, start + term, start + term + absl::Seconds(1)),
              duty_lease::step::read);
}

TEST(duty_lease, waits_a_term_then_reads_and_appends)
{
    duty_lease lease = make_lease();
    EXPECT_EQ(lease.tick(start), duty_lease::step::read);
    // Grants before the topic's end have expired: their holder may live.
    lease.on_read(std::nullopt, 0, 7, start);
    EXPECT_EQ(tick_until_step(lease, start, start + absl::Milliseconds(2750)),
              duty_lease::step::none);
    EXPECT_EQ(lease.tick(start + term), duty_lease::step::read);
    lease.on_read(std::nullopt, 0, 7, start + term);
    EXPECT_EQ(lease.tick(start + term), duty_lease::step::append);
    EXPECT_EQ(lease.expected_end(), 7U);
    lease.on_granted(7, start + term);
    EXPECT_EQ(lease.held(start + term), 7U);
}

// A grant that this node had not seen belongs to a holder that may be about to act.
TEST(duty_lease, waits_again_after_it_reads_a_new_grant)
{
    duty_lease lease = make_lease();
    lease.tick(start);
    lease.on_read(node_id("n2"), 4, 5, start);
    tick_until_step(lease, start, start + term);
    lease.on_read(node_id("n2"), 5, 6, start + term);
    EXPECT_EQ(tick_until_step(lease, start + term, start + term + absl::Milliseconds(2500)),
              duty_lease::step::none);
}

TEST(duty_lease, leaves_a_living_holder_alone)
{
    duty_lease lease = make_lease();
    for (int i = 1; i < 40; ++i) {
        const absl::Time now = start + absl::Milliseconds(250) * i;
        lease.on_peer_holds(5, now);
        EXPECT_EQ(lease.tick(now), duty_lease::step::none);
    }
}

// A process that was paused may have been replaced: it reads the lease before it acts.
TEST(duty_lease, a_paused_holder_reads_again_before_it_acts)
{
    duty_lease lease = make_holder();
    const absl::Time woken = start + term + absl::Seconds(4);
    EXPECT_EQ(lease.held(woken), std::nullopt);
    EXPECT_EQ(lease.tick(woken), duty_lease::step::read);
    EXPECT_EQ(lease.held(woken), std::nullopt);
    lease.on_read(node_id("n2"), 9, 10, woken);
    EXPECT_EQ(lease.held(woken), std::nullopt);
}

TEST(duty_lease, a_paused_holder_goes_on_when_nobody_took_over)
{
    duty_lease lease = make_holder();
    const absl::Time woken = start + term + absl::Seconds(4);
    lease.tick(woken);
    lease.on_read(node_id("n1"), 7, 8, woken);
    EXPECT_EQ(lease.held(woken), 7U);
}

// Holders in the order A, B, A within a term are not allowed.
TEST(duty_lease, does_not_take_a_lost_lease_back_within_a_term)
{
    duty_lease lease = make_holder();
    const absl::Time lost = start + term + absl::Milliseconds(250);
    lease.on_peer_holds(9, lost);
    EXPECT_EQ(lease.held(lost), std::nullopt);
    EXPECT_EQ(tick_until_step(lease, lost, lost + absl::Milliseconds(2750)),
              duty_lease::step::none);
}

TEST(duty_lease, ignores_a_peer_with_an_older_token)
{
    duty_lease lease = make_holder();
    lease.on_peer_holds(3, start + term);
    EXPECT_EQ(lease.held(start + term), 7U);
}

TEST(duty_lease, a_leaving_node_asks_for_nothing)
{
    duty_lease lease = make_lease();
    lease.release();
    EXPECT_EQ(tick_until_step(lease, start, start + absl::Seconds(10)), duty_lease::step::none);
}

} // namespace
} // namespace chivedeal::forward
