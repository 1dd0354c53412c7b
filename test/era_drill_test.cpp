#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/era/position.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "chivedeal/forward/control_log.hpp"
#include "chivedeal/forward/endpoint_watcher.hpp"
#include "fakes/control_node.hpp"
#include "fakes/control_system.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_batch_sender.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/fake_record_store.hpp"
#include "platform/json_wire_format.hpp"
#include "platform/log_store.hpp"
#include "test/platform_soak/soak_store.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::control_system;

constexpr absl::Duration max_wait = absl::Seconds(10);
const std::string ready_endpoint =
    R"({"service":"s","addr":"127.0.0.1:9000","zone":"z","version":"v1","slots":4,"state":"ready"})";

std::string make_config(int version)
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[],"services":[]})");
}

std::string make_order(const char* target)
{
    return absl::StrCat(R"({"service":"s","target":")", target, R"(","duration_s":20})");
}

/// Both watchers of a node on a store that is restored from a copy.
class era_watcher_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_topics->epoch = 1;
        m_topics->put(topic::configuration, "config", make_config(1));
        m_topics->put(topic::endpoints, "e1", ready_endpoint);
        m_topics->take_copy();
        m_config_thread = std::make_unique<posix_thread>("config", [this] { m_config.run(); });
        m_endpoint_thread =
            std::make_unique<posix_thread>("endpoints", [this] { m_endpoints.run(); });
        ASSERT_TRUE(wait_for_configs(1));
        ASSERT_TRUE(fakes::eventually(
            max_wait, [this] { return m_listener.count<node_event::endpoint_changed>() == 1; }));
    }

    void TearDown() override
    {
        m_config.request_stop();
        m_endpoints.request_stop();
        m_config_thread.reset();
        m_endpoint_thread.reset();
    }

    bool wait_for_configs(std::size_t count) const
    {
        return fakes::eventually(max_wait, [this, count] {
            return m_listener.count<node_event::config_changed>() == count;
        });
    }

    bool wait_for_orders(std::size_t count) const
    {
        return fakes::eventually(max_wait, [this, count] {
            return m_listener.count<node_event::rollout_ordered>() == count;
        });
    }

    std::shared_ptr<fakes::fake_topics> m_topics = std::make_shared<fakes::fake_topics>();
    fakes::fake_record_store m_config_store{m_topics};
    fakes::fake_record_store m_endpoint_store{m_topics};
    fakes::fake_batch_sender m_batch_sender;
    fakes::fake_node_event_listener m_listener;
    platform::json_wire_format m_format;
    system_clock m_clock;
    era::epoch_register m_epochs;
    config_watcher m_config{{.self = node_id("n1"),
                             .store = m_config_store,
                             .format = m_format,
                             .time = m_clock,
                             .peers = m_batch_sender,
                             .listeners = {&m_listener},
                             .epochs = &m_epochs}};
    endpoint_watcher m_endpoints{{.self = node_id("n1"),
                                  .store = m_endpoint_store,
                                  .format = m_format,
                                  .time = m_clock,
                                  .peers = m_batch_sender,
                                  .listeners = {&m_listener},
                                  .poll_interval = absl::Milliseconds(20),
                                  .epochs = &m_epochs}};
    std::unique_ptr<posix_thread> m_config_thread;
    std::unique_ptr<posix_thread> m_endpoint_thread;
};

// Guards against a node that waits at its old offset: the store reuses offsets, so it would never
// see the records below it.
TEST_F(era_watcher_test, reads_a_change_at_a_reused_offset)
{
    m_topics->put(topic::configuration, "config", make_config(2));
    m_topics->put(topic::configuration, "config", make_config(3));
    ASSERT_TRUE(wait_for_configs(3));
    // The operator has written the next configuration and more before the node reads again.
    auto& restored = m_topics->copy[topic::configuration];
    restored.push_back({.key = "config", .value = make_config(4), .offset = 1});
    restored.push_back({.key = "other", .value = "{}", .offset = 2});
    restored.push_back({.key = "other", .value = "{}", .offset = 3});
    m_topics->drill();
    EXPECT_TRUE(wait_for_configs(4));
}

// Guards against a configuration that goes back to that of the copy.
TEST_F(era_watcher_test, keeps_the_configuration_that_the_store_lost)
{
    m_topics->put(topic::configuration, "config", make_config(2));
    ASSERT_TRUE(wait_for_configs(2));
    m_topics->drill();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_epochs.newest() == 2; }));
    m_topics->put(topic::configuration, "config", make_config(2));
    m_topics->put(topic::configuration, "config", make_config(3));
    ASSERT_TRUE(wait_for_configs(3));
    absl::SleepFor(absl::Milliseconds(100));
    EXPECT_EQ(m_listener.count<node_event::config_changed>(), 3U);
}

// Guards against a roll-out that starts again when the operator writes its order again. The order
// is passed on once more, marked, so that the nodes agree on its position.
TEST_F(era_watcher_test, marks_an_order_that_is_written_again)
{
    m_topics->put(topic::configuration, "rollout/s", make_order("v2"));
    ASSERT_TRUE(wait_for_orders(1));
    m_topics->drill();
    m_topics->put(topic::configuration, "config", make_config(2));
    m_topics->put(topic::configuration, "rollout/s", make_order("v2"));
    ASSERT_TRUE(wait_for_orders(2));
    const auto orders = m_listener.all<node_event::rollout_ordered>();
    EXPECT_FALSE(orders[0].order.rewritten);
    EXPECT_EQ(orders[0].order.offset, era::make_position(1, 1));
    EXPECT_TRUE(orders[1].order.rewritten);
    EXPECT_EQ(orders[1].order.offset, era::make_position(2, 2));
}

// Guards against live endpoints that leave the routing for the two seconds until their records are
// written again.
TEST_F(era_watcher_test, keeps_endpoints_that_the_copy_lacks)
{
    m_topics->put(topic::endpoints, "e2", ready_endpoint);
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::endpoint_changed>() == 2; }));
    m_topics->drill();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] {
        return m_listener.count<node_event::endpoint_removal_scheduled>() == 1;
    }));
    m_topics->put(topic::endpoints, "e2", ready_endpoint);
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::endpoint_changed>() == 3; }));
    EXPECT_EQ(m_listener.count<node_event::endpoint_removed>(), 0U);
}

// Guards against dead endpoints that stay listed because a drill dropped their removal.
TEST_F(era_watcher_test, removes_endpoints_that_do_not_return)
{
    m_topics->put(topic::endpoints, "e2", ready_endpoint);
    ASSERT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::endpoint_changed>() == 2; }));
    m_topics->drill();
    EXPECT_TRUE(fakes::eventually(
        max_wait, [this] { return m_listener.count<node_event::endpoint_removed>() == 1; }));
}

// Guards against a follower that relies on a peer's batches and never notices the restoration.
TEST_F(era_watcher_test, follower_learns_of_the_epoch_from_a_relayed_batch)
{
    m_topics->put(topic::configuration, "config", make_config(2));
    ASSERT_TRUE(wait_for_configs(2));
    m_config.on_relay({.sender = node_id("n0"),
                       .from = topic::configuration,
                       .begin_offset = 2,
                       .end_offset = 2,
                       .complete = true,
                       .epoch = 1});
    m_topics->drill();
    m_topics->put(topic::configuration, "config", make_config(3));
    m_config.on_relay({.sender = node_id("n0"),
                       .from = topic::configuration,
                       .begin_offset = 1,
                       .end_offset = 2,
                       .complete = true,
                       .epoch = 2});
    EXPECT_TRUE(wait_for_configs(3));
}

enum class drill_kind
{
    before_a_call,
    after_a_call,
    between_calls
};

// Runs two nodes, restores the store at one step, and optionally ends the holder then.
void check_drill(int drill_step, drill_kind kind, bool holder_ends)
{
    SCOPED_TRACE(absl::StrCat("step ", drill_step, " kind ", static_cast<int>(kind),
                              " holder ends ", holder_ends));
    control_system system(1);
    system.add("n1");
    system.step();
    system.step();
    system.add("n2");
    for (int i = 0; i < drill_step; ++i)
        system.step();
    const std::uint64_t token_before = system.platform.highest_token();
    if (kind == drill_kind::between_calls) {
        system.topics->drill();
        system.let_watchers_read();
    }
    else
        system.topics->drill_at_call(1, kind == drill_kind::after_a_call);
    if (holder_ends) {
        system.step();
        system.topics->calls_until_drill = std::nullopt;
        if (system.topics->epoch == 1)
            system.topics->drill();
        system.nodes.erase("n1");
        system.let_watchers_read();
    }
    for (int i = 0; i < 140 && system.topics->epoch == 1; ++i)
        system.step();
    ASSERT_EQ(system.topics->epoch, 2U);
    const std::map<std::int64_t, usage_report> accepted = system.platform.accepted();
    // A node without calls of its own learns of the epoch from its watchers.
    system.let_watchers_read();
    system.run(absl::Seconds(10));
    for (const auto& [window, report] : accepted)
        if (window + 2 >= accepted.rbegin()->first)
            EXPECT_TRUE(
                system.has_record(topic::lease, "", control_log::encode_report(report, 1)) ||
                system.has_record(topic::lease, "", control_log::encode_report(report, 2)))
                << window;
    system.run(absl::Seconds(25));
    EXPECT_FALSE(system.platform.has_conflict());
    ASSERT_FALSE(system.platform.accepted().empty());
    // A window is reported at most 10 s after its end.
    EXPECT_GE(system.platform.accepted().rbegin()->first,
              absl::ToUnixSeconds(system.clock.now() - absl::Seconds(10)) / 5 - 1);
    EXPECT_GT(system.platform.highest_token(), token_before);
    EXPECT_GE(system.platform.highest_token(), era::make_position(2, 0));
    EXPECT_TRUE(system.has_record(topic::nodes, "n2", "peers"));
    EXPECT_TRUE(holder_ends || system.has_record(topic::nodes, "n1", "peers"));
}

// Guards against usage that is accepted twice with other counts, tokens that go back, lost node
// entries and reports that stop, with the store restored at any step of the start, of a report and
// of a renewal of the lease.
TEST(era_control, store_is_restored_at_each_step)
{
    for (int step = 0; step < 48; ++step)
        for (const drill_kind kind :
             {drill_kind::before_a_call, drill_kind::after_a_call, drill_kind::between_calls})
            check_drill(step, kind, false);
}

// Guards against a takeover after a restoration that reports windows again, with other counts.
TEST(era_control, holder_ends_while_the_store_is_restored)
{
    for (int step = 0; step < 48; ++step)
        for (const drill_kind kind :
             {drill_kind::before_a_call, drill_kind::after_a_call, drill_kind::between_calls})
            check_drill(step, kind, true);
}

// Guards against a takeover that uses an offset of the earlier epoch, or a grant that is lost
// without notice: the store is restored at each step of the takeover, also during its calls.
TEST(era_control, store_is_restored_during_a_takeover)
{
    for (int step = 0; step < 32; ++step)
        for (const bool after : {false, true}) {
            SCOPED_TRACE(absl::StrCat(step, after ? " after a call" : " before a call"));
            control_system system(1);
            system.add("n1");
            system.step();
            system.step();
            system.add("n2");
            system.add("n3");
            system.run(absl::Seconds(11));
            system.nodes.erase("n1");
            for (int i = 0; i < step; ++i)
                system.step();
            const std::uint64_t token_before = system.platform.highest_token();
            system.topics->drill_at_call(1, after);
            for (int i = 0; i < 140 && system.topics->epoch == 1; ++i)
                system.step();
            ASSERT_EQ(system.topics->epoch, 2U);
            system.let_watchers_read();
            system.run(absl::Seconds(25));
            EXPECT_FALSE(system.platform.has_conflict());
            EXPECT_GE(system.platform.highest_token(), era::make_position(2, 0));
            EXPECT_GT(system.platform.highest_token(), token_before);
            ASSERT_FALSE(system.platform.accepted().empty());
            EXPECT_GE(system.platform.accepted().rbegin()->first,
                      absl::ToUnixSeconds(system.clock.now() - absl::Seconds(10)) / 5 - 1);
        }
}

// Guards against changed tokens and delayed reports on stores without epochs.
TEST(era_control, tokens_are_offsets_without_epochs)
{
    control_system system(0);
    system.add("n1");
    system.run(absl::Seconds(20));
    EXPECT_EQ(system.platform.highest_token(), 0U);
    EXPECT_FALSE(system.platform.accepted().empty());
    EXPECT_TRUE(system.has_record(topic::lease, "", R"({"holder":"n1"})"));
    EXPECT_EQ(system.topics->records[topic::nodes].size(), 1U);
}

// Guards against partial counts after all nodes and the plan of a reported window are lost at once.
TEST(era_control, all_nodes_restart_while_the_store_is_restored)
{
    for (int step = 16; step < 48; ++step) {
        SCOPED_TRACE(step);
        control_system system(1);
        system.add("n1");
        system.add("n2");
        for (int i = 0; i < step; ++i)
            system.step();
        system.topics->drill();
        system.nodes.clear();
        system.add("n1");
        system.add("n2");
        system.run(absl::Seconds(25));
        EXPECT_FALSE(system.platform.has_conflict());
        ASSERT_FALSE(system.platform.accepted().empty());
        EXPECT_GE(system.platform.accepted().rbegin()->first,
                  absl::ToUnixSeconds(system.clock.now() - absl::Seconds(10)) / 5 - 1);
    }
}

// Guards against a window that is lost or reported twice when its plan is known to the peers of a
// holder that restarts only. The restarted holder gets the lease after its stagger and hears of
// its peers later, but within the time in which it plans nothing.
TEST(era_control, holder_restarts_while_the_store_is_restored)
{
    for (int step = 16; step < 48; ++step) {
        SCOPED_TRACE(step);
        control_system system(1);
        system.add("n1");
        system.step();
        system.step();
        system.add("n2");
        for (int i = 0; i < step; ++i)
            system.step();
        system.topics->drill();
        system.nodes.erase("n1");
        auto survivor = std::move(system.nodes["n2"]);
        system.nodes.erase("n2");
        system.add("n1");
        system.run(absl::Milliseconds(1750));
        const node_beacon reply = survivor->make_reply();
        system.nodes["n1"]->handle(
            {node_event::peer_heard{std::make_shared<const node_beacon>(reply), nullptr}});
        system.nodes["n2"] = std::move(survivor);
        system.run(absl::Seconds(15));
        EXPECT_FALSE(system.platform.has_conflict());
        for (const era::planned_report& plan : reply.planned_reports)
            EXPECT_EQ(system.platform.accepted().count(plan.report.window), 1U)
                << plan.report.window;
    }
}

// Guards against a roll-out status that is lost or goes back, and against a roll-out that starts
// again, with the store restored at each step of the roll-out.
void check_rollout(int step, bool holder_ends)
{
    SCOPED_TRACE(absl::StrCat("step ", step, " holder ends ", holder_ends));
    control_system system(1);
    system.add("n1");
    system.add("n2");
    system.run(absl::Seconds(4));
    rollout_order order{.service = service_id("s"),
                        .target = version_id("v2"),
                        .duration = absl::Seconds(20),
                        .offset = era::make_position(1, 5)};
    for (const auto& [name, node] : system.nodes)
        node->handle({node_event::rollout_ordered{order}});
    for (int i = 0; i < step; ++i)
        system.step();
    system.topics->drill();
    system.let_watchers_read();
    if (holder_ends)
        system.nodes.erase("n1");
    // The holder writes the status within a second. If it ended, another node does so a second
    // later.
    system.run(absl::Seconds(holder_ends ? 2 : 1));
    constexpr int decided_step = 75;
    if (step >= decided_step)
        EXPECT_TRUE(system.has_record(topic::rollout_status, "rollout/s", "rolled_back"));
    order.offset = era::make_position(2, 3);
    order.rewritten = true;
    for (const auto& [name, node] : system.nodes)
        node->handle({node_event::rollout_ordered{order}});
    system.run(absl::Seconds(25));
    // Without responses, the roll-out is rolled back at the end of its duration.
    const auto& statuses = system.topics->records[topic::rollout_status];
    bool is_final = false;
    for (const stored_record& record : statuses) {
        const bool is_running = record.value.find("running") != std::string::npos;
        EXPECT_FALSE(is_final && is_running);
        is_final = is_final || !is_running;
    }
    EXPECT_TRUE(is_final);
}

TEST(era_control, roll_out_status_does_not_go_back)
{
    for (int step = 0; step < 90; step += 3) {
        check_rollout(step, false);
        check_rollout(step, true);
    }
}

// Guards against an adapter that misses the header: positions of the old epoch would be used.
TEST(era_log_store, reads_the_epoch_from_every_answer)
{
    soak::soak_store store(1);
    platform::log_store client(store.listen_address());
    store.put("keyed.op", "config", make_config(1));
    store.take_copy();
    ASSERT_TRUE(is_ok(client.read(topic::configuration, 0, absl::ZeroDuration())));
    EXPECT_EQ(client.epoch(), 0U);
    store.put("keyed.op", "config", make_config(2));
    store.put("keyed.op", "config", make_config(3));
    store.drill();
    const auto beyond = client.read(topic::configuration, 3, absl::ZeroDuration());
    ASSERT_TRUE(is_ok(beyond));
    EXPECT_TRUE(get_value(beyond).truncated);
    EXPECT_EQ(get_value(beyond).next_offset, 0U);
    EXPECT_EQ(client.epoch(), 1U);
    store.drill();
    ASSERT_TRUE(is_ok(client.newest(topic::configuration)));
    EXPECT_EQ(client.epoch(), 2U);
    store.drill();
    ASSERT_TRUE(is_ok(client.append(topic::lease, "", "x", 0)));
    EXPECT_EQ(client.epoch(), 3U);
    store.drill();
    store.set_mode(soak::soak_store::mode::rejecting);
    EXPECT_FALSE(is_ok(client.newest(topic::configuration)));
    EXPECT_EQ(client.epoch(), 4U);
}

} // namespace
} // namespace chivedeal::forward
