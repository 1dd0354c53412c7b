#include "chivedeal/guard/connection_activity.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/guard/memory_budget.hpp"

#include "absl/time/time.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chivedeal::guard {
namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

// Guards against an account that drifts from what the connections hold, so that the budget is
// exhausted for good or never.
RC_GTEST_PROP(memory_budget, accounts_what_the_connections_hold,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& changes))
{
    memory_budget budget(100'000);
    std::map<std::uint64_t, std::size_t> expected;
    for (const auto& [connection, bytes] : changes) {
        // Every eighth change closes the connection.
        if (bytes % 8 == 0) {
            budget.remove(connection);
            expected.erase(connection);
            continue;
        }
        budget.set(connection, bytes);
        expected[connection] = (bytes + memory_budget::granularity_bytes - 1) /
                               memory_budget::granularity_bytes * memory_budget::granularity_bytes;
    }
    std::size_t total = 0;
    std::size_t most = 0;
    for (const auto& [connection, bytes] : expected) {
        total += bytes;
        most = std::max(most, bytes);
        RC_ASSERT(budget.held(connection) == bytes);
    }
    RC_ASSERT(budget.total() == total);
    RC_ASSERT(budget.is_exceeded() == (total > 100'000));
    RC_ASSERT(budget.heaviest().has_value() == !expected.empty());
    if (!expected.empty()) {
        RC_ASSERT(budget.held(*budget.heaviest()) == most);
    }
}

// Guards against limits that callers inside the limits reach on the smallest instance, or that
// together exceed its memory.
TEST(connection_limits, fit_the_smallest_instance)
{
    const connection_limits limits =
        divide_instance({.memory_bytes = 120 * mebibyte, .max_descriptors = 3075});
    EXPECT_GE(limits.max_callers, 700U);
    EXPECT_GE(limits.max_endpoint_connections, 700U);
    // A body of 4 MB and a response of 4 MB, each in two copies.
    EXPECT_GE(limits.buffer_bytes, 17 * mebibyte);
    // The kernel allows twice the size that is set.
    const std::size_t kernel_bytes =
        limits.max_callers * 2 * static_cast<std::size_t>(limits.receive_buffer_bytes);
    EXPECT_LE(limits.buffer_bytes + kernel_bytes, (120 - 13 - 32) * mebibyte);
    EXPECT_LE(limits.max_callers + limits.max_endpoint_connections, 3075U - 200U);
}

// Guards against limits of 0, or an overflow, on an instance below the fixed needs.
TEST(connection_limits, are_not_empty_on_a_tiny_instance)
{
    const connection_limits limits =
        divide_instance({.memory_bytes = 20 * mebibyte, .max_descriptors = 100});
    EXPECT_EQ(limits.buffer_bytes, 5 * mebibyte);
    EXPECT_EQ(limits.max_callers, 16U);
    EXPECT_EQ(limits.max_endpoint_connections, 16U);
}

// Guards against closing connections of ordinary callers for those that only connect.
TEST(connection_activity, orders_connections_to_close)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    const connection_activity ending{.is_ending = true, .has_served = true, .last_activity = now};
    const connection_activity silent{.last_activity = now - absl::Seconds(2)};
    const connection_activity fresh{.last_activity = now};
    const connection_activity idle{.has_served = true, .last_activity = now - absl::Seconds(9)};
    const connection_activity serving{.is_serving = true, .last_activity = now - absl::Seconds(99)};
    const std::vector<connection_activity> order{ending, silent, fresh, idle, serving};
    for (std::size_t left = 0; left < order.size(); ++left)
        for (std::size_t right = 0; right < order.size(); ++right)
            EXPECT_EQ(is_closed_before(order[left], order[right]), left < right)
                << left << " and " << right;
}

} // namespace
} // namespace chivedeal::guard
