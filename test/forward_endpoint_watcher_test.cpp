#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/endpoint_watcher.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_batch_sender.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(10);
const std::string ready_endpoint =
    R"({"service":"s","addr":"127.0.0.1:9000","zone":"z","version":"v1","slots":4,"state":"ready"})";

/// A running watcher that reads the topic and relays changes to its peers.
class endpoint_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->put(topic::endpoints, "e1", ready_endpoint);
        m_thread = std::make_unique<posix_thread>("watcher", [this] { m_watcher.run(); });
        // The first relayed record shows that the snapshot was read.
        int attempt = 0;
        ASSERT_TRUE(fakes::eventually(max_wait, [&] {
            m_topics->put(topic::endpoints, absl::StrCat("new", ++attempt), ready_endpoint);
            return !m_batch_sender.records().empty();
        }));
    }

    void TearDown() override
    {
        m_watcher.request_stop();
        m_thread.reset();
    }

    std::ptrdiff_t relayed_count(const std::string& key, bool removed) const
    {
        const auto records = m_batch_sender.records();
        return std::count_if(records.begin(), records.end(), [&](const stored_record& record) {
            return record.key == key && record.removed == removed;
        });
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_store{m_topics};
    fakes::fake_batch_sender m_batch_sender;
    fakes::fake_node_event_listener m_listener;
    platform::json_wire_format m_format;
    system_clock m_clock;
    endpoint_watcher m_watcher{{.self = node_id("n1"),
                                .store = m_store,
                                .format = m_format,
                                .time = m_clock,
                                .peers = m_batch_sender,
                                .listeners = {&m_listener},
                                .poll_interval = absl::Milliseconds(20)}};
    std::unique_ptr<posix_thread> m_thread;
};

// Guards against relayed heartbeats, which would saturate the links between nodes.
TEST_F(endpoint_watcher_test, does_not_relay_unchanged_records)
{
    m_topics->put(topic::endpoints, "e1", ready_endpoint);
    m_topics->put(topic::endpoints, "e2", ready_endpoint);
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return relayed_count("e2", false) == 1; }));
    EXPECT_EQ(relayed_count("e1", false), 0);
}

// Guards against peers that lose all endpoints after an outage of the store: they deferred the
// relayed removals, never received the records that returned, and then rejected all requests.
TEST_F(endpoint_watcher_test, relays_a_record_that_returns_after_lapsing_in_an_outage)
{
    m_topics->set_down(true);
    absl::SleepFor(absl::Milliseconds(400));
    m_topics->set_down(false);
    m_topics->put(topic::endpoints, "e1", "");
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return relayed_count("e1", true) == 1; }));
    m_topics->put(topic::endpoints, "e1", ready_endpoint);
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return relayed_count("e1", false) == 1; }));
}

// Guards against a removal that is carried out late, and against one that is carried out although
// the record returned: the forwarder acts on the due time that it is told.
TEST_F(endpoint_watcher_test, announces_a_deferred_removal_and_its_cancellation)
{
    m_topics->set_down(true);
    absl::SleepFor(absl::Milliseconds(400));
    m_topics->set_down(false);
    m_topics->put(topic::endpoints, "e1", "");
    ASSERT_TRUE(fakes::eventually(max_wait, [this] {
        return m_listener.count<node_event::endpoint_removal_scheduled>() == 1;
    }));
    const std::size_t changes = m_listener.count<node_event::endpoint_changed>();
    m_topics->put(topic::endpoints, "e1", ready_endpoint);
    EXPECT_TRUE(fakes::eventually(
        max_wait, [&] { return m_listener.count<node_event::endpoint_changed>() == changes + 1; }));
    EXPECT_EQ(m_listener.count<node_event::endpoint_removed>(), 0U);
}

// Guards against early removal after an outage. A node that waits between failed reads doesn't know
// when the store recovered, and removed lapsed records 2.3 s after the last failed read.
TEST_F(endpoint_watcher_test, starts_the_removal_delay_at_the_first_successful_read)
{
    m_topics->set_down(true);
    absl::SleepFor(absl::Milliseconds(1500));
    m_topics->set_down(false);
    m_topics->put(topic::endpoints, "e1", "");
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return relayed_count("e1", true) == 1; }));
    const absl::Time read = absl::Now();
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::endpoint_removed>() == 1; }));
    EXPECT_GE(absl::Now() - read, absl::Seconds(2));
}

// Guards against redundant reads after a reclaim, which changes more records than a datagram holds:
// peers that didn't receive all changes read the topic and relayed the changes to each other again.
TEST_F(endpoint_watcher_test, splits_many_changes_into_contiguous_batches)
{
    const std::size_t before = m_batch_sender.batches().size();
    for (int i = 0; i < 300; ++i)
        m_topics->put(topic::endpoints, absl::StrCat("many", i), ready_endpoint);
    ASSERT_TRUE(
        fakes::eventually(max_wait, [this] { return relayed_count("many299", false) == 1; }));
    const auto batches = m_batch_sender.batches();
    for (std::size_t i = before; i < batches.size(); ++i) {
        EXPECT_TRUE(batches[i].complete);
        EXPECT_EQ(batches[i].begin_offset, batches[i - 1].end_offset);
        std::size_t bytes = 0;
        for (const stored_record& record : batches[i].records)
            bytes += record.key.size() + record.value.size();
        EXPECT_LE(bytes, 8 * 1024);
    }
    for (int i = 0; i < 300; ++i)
        EXPECT_EQ(relayed_count(absl::StrCat("many", i), false), 1);
}

} // namespace
} // namespace chivedeal::forward
