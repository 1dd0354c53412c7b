#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_record_store.hpp"
#include "fakes/fake_relay_port.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <memory>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration patience = absl::Seconds(20);

/// A watcher that reads the topic and tells its peers; each of its reads is relayed.
class config_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->put(topic::configuration, "config", R"({"version":1})");
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
    platform::json_wire_format m_format;
    system_clock m_clock;
    config_watcher m_watcher{{.self = node_id("n5"),
                              .store = m_store,
                              .format = m_format,
                              .time = m_clock,
                              .peers = m_relays,
                              .listeners = {}}};
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

} // namespace
} // namespace chivedeal::forward
