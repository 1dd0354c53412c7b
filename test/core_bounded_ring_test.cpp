#include "chivedeal/core/bounded_ring.hpp"

#include "chivedeal/core/posix_thread.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using chivedeal::bounded_ring;
using chivedeal::posix_thread;

// Guards against an unbounded queue: a full ring must refuse, so that the edge can.
TEST(bounded_ring, refuses_when_full)
{
    bounded_ring<int> ring(2);
    EXPECT_TRUE(ring.try_push(1));
    EXPECT_TRUE(ring.try_push(2));
    EXPECT_FALSE(ring.try_push(3));
}

// Guards against work lost at shutdown: items taken before the close are still delivered.
TEST(bounded_ring, drains_after_close)
{
    bounded_ring<int> ring(2);
    ASSERT_TRUE(ring.try_push(7));
    ring.close();
    EXPECT_FALSE(ring.try_push(8));
    EXPECT_EQ(ring.pop(), 7);
    EXPECT_EQ(ring.pop(), std::nullopt);
}

// Guards against a consumer that sleeps for ever when the producer stops.
TEST(bounded_ring, close_wakes_a_waiting_consumer)
{
    bounded_ring<int> ring(1);
    posix_thread consumer("consumer", [&] { EXPECT_EQ(ring.pop(), std::nullopt); });
    ring.close();
}

// Guards against lost, doubled or reordered items between two threads.
RC_GTEST_PROP(bounded_ring, keeps_order_between_threads, (const std::vector<int>& items))
{
    bounded_ring<int> ring(3);
    std::vector<int> received;
    {
        posix_thread producer("producer", [&] {
            for (const int item : items)
                (void)ring.push(item);
            ring.close();
        });
        while (const auto item = ring.pop())
            received.push_back(*item);
    }
    RC_ASSERT(received == items);
}
