#include "chivedeal/forward/topic_tail.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

relayed_batch make_batch(const char* sender, std::uint64_t begin, std::uint64_t next, bool complete)
{
    return {.sender = node_id(sender), .begin = begin, .next = next, .complete = complete};
}

topic_tail make_tail()
{
    topic_tail tail({.self = node_id("n5"), .trust = absl::Seconds(1)});
    tail.on_own_read(10);
    return tail;
}

TEST(topic_tail, reads_itself_until_it_hears_a_peer_with_a_lower_name)
{
    topic_tail tail = make_tail();
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_FALSE(tail.on_relay(make_batch("n9", 10, 10, true), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 10, 10, true), start));
    EXPECT_FALSE(tail.must_read(start));
}

// The peer that reads may end at any moment; its silence must not hide a change for long.
TEST(topic_tail, reads_again_when_the_peer_falls_silent)
{
    topic_tail tail = make_tail();
    tail.on_relay(make_batch("n1", 10, 10, true), start);
    EXPECT_TRUE(tail.must_read(start + absl::Seconds(1)));
}

TEST(topic_tail, applies_what_follows_on_and_reads_what_it_missed)
{
    topic_tail tail = make_tail();
    EXPECT_TRUE(tail.on_relay(make_batch("n1", 10, 12, true), start));
    EXPECT_EQ(tail.next(), 12U);
    // Offsets 12 and 13 were lost with a datagram.
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 14, 15, true), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_EQ(tail.next(), 12U);
    tail.on_own_read(15);
    EXPECT_FALSE(tail.must_read(start));
}

// In an outage of five seconds 89 nodes made 1,000 calls that were refused.
TEST(topic_tail, a_follower_waits_longer_after_a_failed_read)
{
    topic_tail reader = make_tail();
    EXPECT_EQ(reader.on_failed_read(), absl::Milliseconds(200));
    topic_tail follower = make_tail();
    follower.on_relay(make_batch("n1", 10, 10, true), start);
    EXPECT_EQ(follower.on_failed_read(), absl::Seconds(1));
    EXPECT_EQ(follower.on_failed_read(), absl::Seconds(2));
    EXPECT_EQ(follower.on_failed_read(), absl::Seconds(2));
    follower.on_own_read(10);
    EXPECT_EQ(follower.on_failed_read(), absl::Milliseconds(200));
}

TEST(topic_tail, reads_what_a_batch_leaves_out)
{
    topic_tail tail = make_tail();
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 10, 12, false), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_EQ(tail.next(), 10U);
}

// Calls that fail are paid as well: many nodes that ask a store that is down must not hammer it.
TEST(topic_tail, waits_longer_after_each_failed_read)
{
    topic_tail tail = make_tail();
    EXPECT_EQ(tail.on_failed_read(), absl::Milliseconds(200));
    EXPECT_EQ(tail.on_failed_read(), absl::Milliseconds(400));
    EXPECT_EQ(tail.on_failed_read(), absl::Milliseconds(800));
    EXPECT_EQ(tail.on_failed_read(), absl::Milliseconds(800));
    tail.on_own_read(11);
    EXPECT_EQ(tail.on_failed_read(), absl::Milliseconds(200));
}

// A peer that reads an old state of the store must not take this node back.
TEST(topic_tail, never_goes_back)
{
    topic_tail tail = make_tail();
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 3, 5, true), start));
    EXPECT_EQ(tail.next(), 10U);
    EXPECT_TRUE(tail.must_read(start));
}

} // namespace
} // namespace chivedeal::forward
