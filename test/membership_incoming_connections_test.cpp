#include "chivedeal/membership/incoming_connections.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>

namespace chivedeal::membership {
namespace {

// Guards against a process that runs out of descriptors because many connections are opened, and
// against the loss of a peer that uses its connection.
TEST(incoming_connections, closes_the_one_that_was_inactive_for_longest)
{
    incoming_connections connections({.max_connections = 2});
    EXPECT_EQ(connections.on_accepted(1), std::nullopt);
    EXPECT_EQ(connections.on_accepted(2), std::nullopt);
    EXPECT_EQ(connections.on_read(1, 10), std::nullopt);
    EXPECT_EQ(connections.on_accepted(3), std::optional<std::uint64_t>(2));
    EXPECT_EQ(connections.size(), 2U);
    connections.on_closed(1);
    EXPECT_EQ(connections.on_accepted(4), std::nullopt);
}

// Guards against a process that runs out of memory because calls are sent without an end.
TEST(incoming_connections, closes_the_one_with_the_longest_unanswered_call)
{
    incoming_connections connections({.max_unanswered_bytes = 100'000});
    (void)connections.on_accepted(1);
    (void)connections.on_accepted(2);
    EXPECT_EQ(connections.on_read(1, 60'000), std::nullopt);
    EXPECT_EQ(connections.on_read(2, 30'000), std::nullopt);
    EXPECT_EQ(connections.on_read(2, 20'000), std::optional<std::uint64_t>(1));
    // A call is answered, so the next one counts anew.
    connections.on_write(2);
    EXPECT_EQ(connections.on_read(2, 90'000), std::nullopt);
    EXPECT_EQ(connections.on_read(2, 20'000), std::optional<std::uint64_t>(2));
    EXPECT_EQ(connections.size(), 0U);
}

} // namespace
} // namespace chivedeal::membership
