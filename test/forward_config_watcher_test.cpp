#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "fakes/fake_relay_port.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration patience = absl::Seconds(20);

std::string config(int version, const std::string& note = "")
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[],"services":[],"note":")", note,
                        R"("})");
}

/// A watcher that reads the topic and tells its peers; each of its reads is relayed.
class config_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->put(topic::configuration, "config", config(1));
        m_thread = std::make_unique<posix_thread>("watcher", [this] { m_watcher.run(); });
        ASSERT_TRUE(fakes::eventually(patience, [this] { return reads() > 0; }));
    }

    void TearDown() override
    {
        m_watcher.request_stop();
        m_thread.reset();
    }

    std::size_t reads() const { return m_relays.batches().size(); }

    void hear_read_of(const char* peer)
    {
        m_watcher.on_relay(
            {.sender = node_id(peer), .from = topic::configuration, .begin = 1, .next = 1});
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_store{m_topics};
    fakes::fake_relay_port m_relays;
    fakes::fake_node_event_listener m_listener;
    platform::json_wire_format m_format;
    system_clock m_clock;
    config_watcher m_watcher{{.self = node_id("n5"),
                              .store = m_store,
                              .format = m_format,
                              .time = m_clock,
                              .peers = m_relays,
                              .listeners = {&m_listener}}};
    std::unique_ptr<posix_thread> m_thread;
};

// After a cut 20 nodes of each region read on for the rest of the day, 100 calls a second: each took
// one relay from its full ring between two reads, mostly one of a node with a higher name.
TEST_F(config_watcher_test, follows_a_peer_after_many_nodes_read_at_once)
{
    for (int i = 0; i < 100; ++i)
        hear_read_of("n9");
    EXPECT_TRUE(fakes::eventually(patience, [this] {
        const std::size_t before = reads();
        for (int i = 0; i < 8; ++i) {
            hear_read_of("n1");
            absl::SleepFor(absl::Milliseconds(100));
        }
        return reads() == before;
    }));
}

// Each of 89 nodes read each of 24 configurations: 2,100 calls in four seconds.
TEST_F(config_watcher_test, sends_a_small_configuration_on_and_takes_one_from_a_peer)
{
    m_topics->put(topic::configuration, "config", config(2));
    ASSERT_TRUE(fakes::eventually(patience, [this] {
        const auto records = m_relays.records();
        return !records.empty() && records.back().value == config(2);
    }));
    ASSERT_TRUE(fakes::eventually(
        patience, [this] { return m_listener.count<node_event::config_changed>() == 2; }));
    m_watcher.on_relay({.sender = node_id("n1"),
                        .from = topic::configuration,
                        .begin = 2,
                        .next = 3,
                        .complete = true,
                        .records = {{.key = "config", .value = config(3), .offset = 2}}});
    EXPECT_TRUE(fakes::eventually(
        patience, [this] { return m_listener.count<node_event::config_changed>() == 3; }));
}

TEST_F(config_watcher_test, sends_no_configuration_on_that_exceeds_a_datagram)
{
    const std::string padding(40000, 'x');
    m_topics->put(topic::configuration, "config", config(2, padding));
    ASSERT_TRUE(fakes::eventually(
        patience, [this] { return m_listener.count<node_event::config_changed>() == 2; }));
    ASSERT_TRUE(
        fakes::eventually(patience, [this] { return m_relays.batches().back().next == 2; }));
    for (const relayed_batch& batch : m_relays.batches())
        EXPECT_TRUE(batch.records.empty());
}

} // namespace
} // namespace chivedeal::forward
