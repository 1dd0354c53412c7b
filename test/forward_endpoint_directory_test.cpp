#include "chivedeal/forward/endpoint_directory.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

endpoint_record make_record(const char* id)
{
    return {.id = endpoint_id(id), .service = service_id("drafts"), .slots = 4};
}

bool removes(const std::vector<node_event>& events)
{
    return events.size() == 1 &&
           std::holds_alternative<node_event::endpoint_removed>(events.front().value);
}

// A heartbeat changes nothing that a node decides by, and must not flood its rings.
TEST(endpoint_directory, passes_on_only_changes)
{
    endpoint_directory directory;
    EXPECT_EQ(directory.on_record(make_record("e1")).size(), 1U);
    EXPECT_TRUE(directory.on_record(make_record("e1")).empty());
}

TEST(endpoint_directory, removes_at_once_while_the_store_is_stable)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    EXPECT_TRUE(removes(directory.on_removed(endpoint_id("e1"), start)));
}

// An endpoint whose record lapsed during an outage is alive and comes back soon after.
TEST(endpoint_directory, keeps_an_endpoint_that_returns_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    EXPECT_TRUE(directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(200)).empty());
    EXPECT_TRUE(directory.on_record(make_record("e1")).empty());
    EXPECT_TRUE(directory.tick(start + absl::Seconds(10)).empty());
}

TEST(endpoint_directory, removes_an_endpoint_that_stays_away_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(200));
    EXPECT_TRUE(directory.tick(start + absl::Seconds(1)).empty());
    EXPECT_TRUE(removes(directory.tick(start + absl::Milliseconds(2400))));
}

// A removal 4.4 s after an outage was held back for 2.3 s more, and requests reached the leaving
// endpoint past the drain time (day trouble-1 of the second site).
TEST(endpoint_directory, holds_no_removal_back_long_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    EXPECT_TRUE(removes(directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(4400))));
}

TEST(endpoint_directory, removes_what_a_new_list_lacks)
{
    endpoint_directory directory;
    directory.on_list({make_record("e1"), make_record("e2")}, start);
    EXPECT_TRUE(removes(directory.on_list({make_record("e2")}, start)));
}

} // namespace
} // namespace chivedeal::forward
