#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/endpoint_watcher.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "fakes/fake_relay_port.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration patience = absl::Seconds(10);
const std::string ready_endpoint =
    R"({"service":"s","addr":"127.0.0.1:9000","zone":"z","version":"v1","slots":4,"state":"ready"})";

/// A watcher that reads the topic and tells its peers.
class endpoint_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->put(topic::endpoints, "e1", ready_endpoint);
        m_thread = std::make_unique<posix_thread>("watcher", [this] { m_watcher.run(); });
        // The first news that is relayed shows that the list was read.
        int tried = 0;
        ASSERT_TRUE(fakes::eventually(patience, [&] {
            m_topics->put(topic::endpoints, absl::StrCat("new", ++tried), ready_endpoint);
            return !m_relays.records().empty();
        }));
    }

    void TearDown() override
    {
        m_watcher.request_stop();
        m_thread.reset();
    }

    std::ptrdiff_t relays(const std::string& key, bool removed) const
    {
        const auto records = m_relays.records();
        return std::count_if(records.begin(), records.end(), [&](const stored_record& one) {
            return one.key == key && one.removed == removed;
        });
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_store{m_topics};
    fakes::fake_relay_port m_relays;
    fakes::fake_node_event_listener m_listener;
    platform::json_wire_format m_format;
    system_clock m_clock;
    endpoint_watcher m_watcher{{.self = node_id("n1"),
                                .store = m_store,
                                .format = m_format,
                                .time = m_clock,
                                .peers = m_relays,
                                .listeners = {&m_listener},
                                .poll_interval = absl::Milliseconds(20)}};
    std::unique_ptr<posix_thread> m_thread;
};

// Heartbeats would fill the links between nodes.
TEST_F(endpoint_watcher_test, relays_no_record_without_news)
{
    m_topics->put(topic::endpoints, "e1", ready_endpoint);
    m_topics->put(topic::endpoints, "e2", ready_endpoint);
    ASSERT_TRUE(fakes::eventually(patience, [this] { return relays("e2", false) == 1; }));
    EXPECT_EQ(relays("e1", false), 0);
}

// Peers held the relayed removals back, were not told that the records had returned after the
// store's outage, and refused all requests from then on.
TEST_F(endpoint_watcher_test, relays_the_return_of_a_record_that_lapsed_in_an_outage)
{
    m_topics->set_down(true);
    absl::SleepFor(absl::Milliseconds(400));
    m_topics->set_down(false);
    m_topics->put(topic::endpoints, "e1", "");
    ASSERT_TRUE(fakes::eventually(patience, [this] { return relays("e1", true) == 1; }));
    m_topics->put(topic::endpoints, "e1", ready_endpoint);
    EXPECT_TRUE(fakes::eventually(patience, [this] { return relays("e1", false) == 1; }));
}

// A node that waits between failed reads doesn't know when the store came back. A record that had
// lapsed was taken for gone when 2.3 s had passed since the last failed read.
TEST_F(endpoint_watcher_test, gives_lapsed_records_their_time_from_the_first_read_on)
{
    m_topics->set_down(true);
    absl::SleepFor(absl::Milliseconds(1500));
    m_topics->set_down(false);
    m_topics->put(topic::endpoints, "e1", "");
    ASSERT_TRUE(fakes::eventually(patience, [this] { return relays("e1", true) == 1; }));
    const absl::Time read = absl::Now();
    ASSERT_TRUE(fakes::eventually(
        patience, [this] { return m_listener.count<node_event::endpoint_removed>() == 1; }));
    EXPECT_GE(absl::Now() - read, absl::Seconds(2));
}

// A reclaim changes more than a datagram holds. Peers that were not told all of it read the topic
// themselves, and told each other again.
TEST_F(endpoint_watcher_test, relays_many_changes_in_parts_without_a_gap)
{
    const std::size_t before = m_relays.batches().size();
    for (int i = 0; i < 300; ++i)
        m_topics->put(topic::endpoints, absl::StrCat("many", i), ready_endpoint);
    ASSERT_TRUE(fakes::eventually(patience, [this] { return relays("many299", false) == 1; }));
    const auto batches = m_relays.batches();
    for (std::size_t i = before; i < batches.size(); ++i) {
        EXPECT_TRUE(batches[i].complete);
        EXPECT_EQ(batches[i].begin, batches[i - 1].next);
        std::size_t bytes = 0;
        for (const stored_record& one : batches[i].records)
            bytes += one.key.size() + one.value.size();
        EXPECT_LE(bytes, 8 * 1024);
    }
    for (int i = 0; i < 300; ++i)
        EXPECT_EQ(relays(absl::StrCat("many", i), false), 1);
}

} // namespace
} // namespace chivedeal::forward
