#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_batch_sender.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(20);

std::string make_config(int version, const std::string& note = "")
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[],"services":[],"note":")", note,
                        R"("})");
}

/// A running watcher that reads the topic and relays each of its reads to its peers.
class config_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->put(topic::configuration, "config", make_config(1));
        m_thread = std::make_unique<posix_thread>("watcher", [this] { m_watcher.run(); });
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return read_count() > 0; }));
    }

    void TearDown() override
    {
        m_watcher.request_stop();
        m_thread.reset();
    }

    std::size_t read_count() const { return m_batch_sender.batches().size(); }

    void receive_batch_from(const char* peer)
    {
        m_watcher.on_relay({.sender = node_id(peer),
                            .from = topic::configuration,
                            .begin_offset = 1,
                            .end_offset = 1});
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_store{m_topics};
    fakes::fake_batch_sender m_batch_sender;
    fakes::fake_node_event_listener m_listener;
    platform::json_wire_format m_format;
    system_clock m_clock;
    config_watcher m_watcher{{.self = node_id("n5"),
                              .store = m_store,
                              .format = m_format,
                              .time = m_clock,
                              .peers = m_batch_sender,
                              .listeners = {&m_listener}}};
    std::unique_ptr<posix_thread> m_thread;
};

// Guards against too many readers after a network partition: 20 nodes of each region kept reading,
// at 100 calls to the store per second. Between two reads, each took only one batch from its full
// queue, mostly one of a node with a higher ID.
TEST_F(config_watcher_test, follows_a_peer_after_many_nodes_read_at_once)
{
    for (int i = 0; i < 100; ++i)
        receive_batch_from("n9");
    EXPECT_TRUE(fakes::eventually(max_wait, [this] {
        const std::size_t before = read_count();
        for (int i = 0; i < 8; ++i) {
            receive_batch_from("n1");
            absl::SleepFor(absl::Milliseconds(100));
        }
        return read_count() == before;
    }));
}

// Guards against every node reading each new configuration: for 24 configurations, 89 nodes made
// 2,100 calls to the store in four seconds.
TEST_F(config_watcher_test, relays_a_small_configuration_and_applies_a_relayed_one)
{
    m_topics->put(topic::configuration, "config", make_config(2));
    ASSERT_TRUE(fakes::eventually(max_wait, [this] {
        const auto records = m_batch_sender.records();
        return !records.empty() && records.back().value == make_config(2);
    }));
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::config_changed>() == 2; }));
    m_watcher.on_relay({.sender = node_id("n1"),
                        .from = topic::configuration,
                        .begin_offset = 2,
                        .end_offset = 3,
                        .complete = true,
                        .records = {{.key = "config", .value = make_config(3), .offset = 2}}});
    EXPECT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::config_changed>() == 3; }));
}

// Guards against a relay that never arrives: a datagram holds at most 64 KB, and peers that receive
// no records read the topic themselves.
TEST_F(config_watcher_test, does_not_relay_a_configuration_larger_than_a_datagram)
{
    const std::string padding(40000, 'x');
    m_topics->put(topic::configuration, "config", make_config(2, padding));
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::config_changed>() == 2; }));
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_batch_sender.batches().back().end_offset == 2; }));
    for (const relayed_batch& batch : m_batch_sender.batches())
        EXPECT_TRUE(batch.records.empty());
}

} // namespace
} // namespace chivedeal::forward
