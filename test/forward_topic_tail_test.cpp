#include "chivedeal/forward/topic_tail.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

relayed_batch make_batch(const char* sender, std::uint64_t begin_offset, std::uint64_t end_offset,
                         bool complete)
{
    return {.sender = node_id(sender),
            .begin_offset = begin_offset,
            .end_offset = end_offset,
            .complete = complete};
}

topic_tail make_tail()
{
    topic_tail tail({.self = node_id("n5"), .relay_validity = absl::Seconds(1)});
    tail.on_own_read(10);
    return tail;
}

TEST(topic_tail, reads_until_a_peer_with_a_lower_id_relays)
{
    topic_tail tail = make_tail();
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_FALSE(tail.on_relay(make_batch("n9", 10, 10, true), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 10, 10, true), start));
    EXPECT_FALSE(tail.must_read(start));
}

// Guards against missing changes for long when the peer that reads stops.
TEST(topic_tail, reads_again_when_the_peer_falls_silent)
{
    topic_tail tail = make_tail();
    tail.on_relay(make_batch("n1", 10, 10, true), start);
    EXPECT_TRUE(tail.must_read(start + absl::Seconds(1)));
}

TEST(topic_tail, applies_contiguous_batches_and_reads_after_a_gap)
{
    topic_tail tail = make_tail();
    EXPECT_TRUE(tail.on_relay(make_batch("n1", 10, 12, true), start));
    EXPECT_EQ(tail.next_offset(), 12U);
    // The batch with offsets 12 and 13 was lost.
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 14, 15, true), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_EQ(tail.next_offset(), 12U);
    tail.on_own_read(15);
    EXPECT_FALSE(tail.must_read(start));
}

// Guards against too many calls during an outage of the store: within five seconds, 89 nodes made
// 1,000 calls that were rejected.
TEST(topic_tail, follower_waits_longer_after_a_failed_read)
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

TEST(topic_tail, reads_after_an_incomplete_batch)
{
    topic_tail tail = make_tail();
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 10, 12, false), start));
    EXPECT_TRUE(tail.must_read(start));
    EXPECT_EQ(tail.next_offset(), 10U);
}

// Guards against overloading a store that is down; failed calls are billed as well.
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

// Guards against moving back in the topic when a peer relays an outdated state of the store.
TEST(topic_tail, ignores_batches_older_than_its_offset)
{
    topic_tail tail = make_tail();
    EXPECT_FALSE(tail.on_relay(make_batch("n1", 3, 5, true), start));
    EXPECT_EQ(tail.next_offset(), 10U);
    EXPECT_TRUE(tail.must_read(start));
}

} // namespace
} // namespace chivedeal::forward
