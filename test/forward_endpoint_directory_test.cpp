#include "chivedeal/forward/endpoint_directory.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

endpoint_record make_record(const char* id)
{
    return {.id = endpoint_id(id), .service = service_id("drafts"), .slots = 4};
}

bool is_single_removal(const std::vector<node_event>& events)
{
    return events.size() == 1 &&
           std::holds_alternative<node_event::endpoint_removed>(events.front().value);
}

// Endpoints renew their records at each heartbeat. Events for unchanged records would flood the
// rings between threads.
TEST(endpoint_directory, reports_only_changed_records)
{
    endpoint_directory directory;
    EXPECT_EQ(directory.on_record(make_record("e1")).size(), 1U);
    EXPECT_TRUE(directory.on_record(make_record("e1")).empty());
}

TEST(endpoint_directory, removes_at_once_without_a_store_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    EXPECT_TRUE(is_single_removal(directory.on_removed(endpoint_id("e1"), start)));
}

// The record of a live endpoint expires during an outage of the store and reappears soon after it.
// Removing the endpoint meanwhile would take a working one out of use.
TEST(endpoint_directory, keeps_an_endpoint_that_returns_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    EXPECT_TRUE(directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(200)).empty());
    EXPECT_TRUE(directory.on_record(make_record("e1")).empty());
    EXPECT_TRUE(directory.tick(start + absl::Seconds(10)).empty());
}

TEST(endpoint_directory, removes_an_endpoint_that_stays_missing_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(200));
    EXPECT_TRUE(directory.tick(start + absl::Seconds(1)).empty());
    EXPECT_TRUE(is_single_removal(directory.tick(start + absl::Milliseconds(2400))));
}

// Guards against requests to leaving endpoints while the store fails again and again: each failed
// read postponed the removals that had been read before.
TEST(endpoint_directory, does_not_postpone_a_removal_when_the_store_fails_again)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(200));
    directory.on_store_failed(start + absl::Seconds(2));
    EXPECT_TRUE(is_single_removal(directory.tick(start + absl::Milliseconds(2400))));
}

// Guards against delaying a removal long after an outage: one that was read 4.4 s after an outage
// was delayed by another 2.3 s, and requests reached the leaving endpoint after its drain time.
TEST(endpoint_directory, removes_at_once_long_after_an_outage)
{
    endpoint_directory directory;
    directory.on_record(make_record("e1"));
    directory.on_store_failed(start);
    EXPECT_TRUE(is_single_removal(
        directory.on_removed(endpoint_id("e1"), start + absl::Milliseconds(4400))));
}

// Guards against sending requests to endpoints that no longer exist: a removal that happens while
// the node can't read the topic may only show as a record missing from the next complete list.
TEST(endpoint_directory, removes_endpoints_missing_from_a_new_list)
{
    endpoint_directory directory;
    directory.on_list({make_record("e1"), make_record("e2")}, start);
    EXPECT_TRUE(is_single_removal(directory.on_list({make_record("e2")}, start)));
}

// Guards against a removal that takes a live endpoint out of use although its record returned, or
// that is carried out late: the forwarder learns its due time, and that it is cancelled.
TEST(endpoint_directory, lists_delayed_removals_and_their_cancellation)
{
    endpoint_directory directory;
    directory.on_list({make_record("e1")}, start);
    directory.on_store_failed(start);
    const auto removed = directory.on_list({}, start);
    ASSERT_EQ(removed.size(), 1U);
    const auto* scheduled =
        std::get_if<node_event::endpoint_removal_scheduled>(&removed.front().value);
    ASSERT_NE(scheduled, nullptr);
    EXPECT_EQ(scheduled->due, start + absl::Milliseconds(2300));
    const auto returned = directory.on_list({make_record("e1")}, start);
    ASSERT_EQ(returned.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<node_event::endpoint_changed>(returned.front().value));
}

} // namespace
} // namespace chivedeal::forward
