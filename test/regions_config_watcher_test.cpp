#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_batch_sender.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(20);
constexpr const char* config = R"({"version":1,"routes":[],"services":[]})";

/// Keeps the evacuated zones, and those that were known when the first configuration arrived.
class zone_listener : public node_event_listener
{
public:
    void on_event(node_event event) override
    {
        const std::lock_guard<mutex> lock(m_guard);
        if (const auto* changed = std::get_if<node_event::evacuations_changed>(&event.value))
            m_zones = *changed->zones;
        if (std::holds_alternative<node_event::config_changed>(event.value) && !m_has_config) {
            m_has_config = true;
            m_zones_at_config = m_zones;
        }
    }

    std::set<zone_id> zones() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        return m_zones;
    }

    std::set<zone_id> zones_at_config() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        return m_zones_at_config;
    }

    bool has_config() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        return m_has_config;
    }

private:
    mutable mutex m_guard;
    std::set<zone_id> m_zones;
    std::set<zone_id> m_zones_at_config;
    bool m_has_config = false;
};

class regions_config_watcher_test : public ::testing::Test
{
protected:
    void start()
    {
        m_thread = std::make_unique<posix_thread>("watcher", [this] { m_watcher.run(); });
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_listener.has_config(); }));
    }

    void TearDown() override
    {
        m_watcher.request_stop();
        m_thread.reset();
    }

    bool sees(const std::set<zone_id>& zones)
    {
        return fakes::eventually(max_wait, [this, &zones] { return m_listener.zones() == zones; });
    }

    void put(const std::string& key, const std::string& value)
    {
        m_topics->put(topic::configuration, key, value);
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_store{m_topics};
    fakes::fake_batch_sender m_batch_sender;
    zone_listener m_listener;
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

// Guards against evacuated zones that go on receiving requests: records of evacuations were
// rejected for their empty value, and their removals were dropped.
TEST_F(regions_config_watcher_test, follows_the_begin_and_the_end_of_an_evacuation)
{
    put("config", config);
    start();
    put("evacuate/z1", "{}");
    EXPECT_TRUE(sees({zone_id("z1")}));
    put("evacuate/z2", "{}");
    EXPECT_TRUE(sees({zone_id("z1"), zone_id("z2")}));
    put("evacuate/z1", "");
    EXPECT_TRUE(sees({zone_id("z2")}));
}

// Guards against requests to an evacuated zone from a node that has just started: it is ready as
// soon as it has the configuration.
TEST_F(regions_config_watcher_test, learns_of_evacuations_before_the_configuration)
{
    put("evacuate/z0", "{}");
    put("evacuate/z0", "");
    put("config", config);
    put("evacuate/z1", "{}");
    start();
    EXPECT_EQ(m_listener.zones_at_config(), std::set<zone_id>{zone_id("z1")});
}

// Guards against a follower that learns of an evacuation only from its own read, which may fail.
TEST_F(regions_config_watcher_test, obeys_a_relayed_evacuation_while_the_store_is_down)
{
    put("config", config);
    start();
    m_topics->set_down(true);
    m_watcher.on_relay({.sender = node_id("n1"),
                        .from = topic::configuration,
                        .begin_offset = 1,
                        .end_offset = 2,
                        .complete = true,
                        .records = {{.key = "evacuate/z1", .value = "{}", .offset = 1}}});
    EXPECT_TRUE(sees({zone_id("z1")}));
    m_watcher.on_relay({.sender = node_id("n1"),
                        .from = topic::configuration,
                        .begin_offset = 2,
                        .end_offset = 3,
                        .complete = true,
                        .records = {{.key = "evacuate/z1", .removed = true, .offset = 2}}});
    EXPECT_TRUE(sees({}));
}

} // namespace
} // namespace chivedeal::forward
