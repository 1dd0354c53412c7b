#include "chivedeal/state/append_queue.hpp"
#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/change_tracker.hpp"
#include "chivedeal/state/log_appender.hpp"
#include "chivedeal/state/log_reader.hpp"
#include "chivedeal/state/published_state.hpp"
#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "chivedeal/state/snapshot_writer.hpp"
#include "chivedeal/state/state_keeper.hpp"

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_log_service.hpp"
#include "fakes/fake_peer_client.hpp"
#include "test/state_random_log.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

// glog calls tzset in each thread that logs. ThreadSanitizer does not see the lock inside glibc and
// reports a race if TZ is unset.
[[maybe_unused]] const int time_zone_is_set = setenv("TZ", "UTC", 0);

// Reached only on failure: tests continue as soon as the awaited condition holds.
constexpr absl::Duration max_wait = absl::Seconds(60);

record service_change(const std::string& id, const std::string& name, std::uint64_t expected = 0)
{
    return signed_change(id, "t", "/teams/t/services/" + name, expected, R"({"kind": "engine"})");
}

// State duties of one node, each in its own thread.
class node
{
public:
    explicit node(log_service& log, membership::peer_client* peers = nullptr)
    {
        m_duties.push_back(std::make_unique<state_keeper>(
            state_keeper::options{.time = clock,
                                  .machine = {.team_keys = {{team_id("t"), "key"}}},
                                  .inbox = inbox,
                                  .published = published,
                                  .listeners = {&tracker},
                                  .peers = peers,
                                  .peer_retry_interval = absl::Milliseconds(5)}));
        for (const std::string& stream : {control_stream, claims_stream})
            m_duties.push_back(std::make_unique<log_reader>(log_reader::options{
                .stream = stream,
                .log = log,
                .position = stream == control_stream ? published.control_position()
                                                     : published.claims_position(),
                .keeper_inbox = inbox,
                .poll_wait = absl::Milliseconds(20),
                .retry_delay = absl::Milliseconds(5)}));
        m_duties.push_back(std::make_unique<log_appender>(
            log_appender::options{.time = clock,
                                  .log = log,
                                  .queue = queue,
                                  .limits = {.first_backoff = absl::Milliseconds(5)},
                                  .listener = &tracker}));
        m_duties.push_back(std::make_unique<snapshot_writer>(
            snapshot_writer::options{.time = clock,
                                     .self = node_id("n1"),
                                     .published = published,
                                     .sink = queue,
                                     .limits = {.max_record_bytes = 1},
                                     .check_interval = absl::Milliseconds(5)}));
        for (const auto& duty : m_duties)
            m_threads.push_back(
                std::make_unique<posix_thread>(duty->name(), [&duty] { duty->run(); }));
    }

    ~node()
    {
        for (const auto& duty : m_duties)
            duty->request_stop();
    }

    error propose(const record& entry)
    {
        EXPECT_TRUE(is_ok(queue.append(entry)));
        return tracker.wait(entry.change, max_wait);
    }

    std::uint64_t applied() const { return published.state()->applied_offset; }

    system_clock clock;
    published_state published;
    bounded_ring<keeper_event> inbox{16};
    append_queue queue;
    change_tracker tracker;

private:
    std::vector<std::unique_ptr<duty>> m_duties;
    std::vector<std::unique_ptr<posix_thread>> m_threads;
};

class counting_listener : public state_listener
{
public:
    void on_applied(const applied_record& /*applied*/) override { ++applied; }
    void on_state(std::shared_ptr<const cluster_state> /*state*/) override {}
    void on_claims_restored(const std::vector<claim_entry>& claims) override { restored = claims; }

    int applied = 0;
    std::vector<claim_entry> restored;
};

std::shared_ptr<const membership::membership_view> view_with_peer(std::uint64_t applied)
{
    return std::make_shared<const membership::membership_view>(membership::membership_view{
        .self = node_id("n2"),
        .nodes = {{.id = node_id("n1"), .ready = true, .applied_offset = applied}}});
}

} // namespace

// Guards against a change that is reported as accepted before it takes effect, and against a lost
// append response that makes it take effect twice.
TEST(state_duties, accepts_a_change_when_it_is_read_back)
{
    fakes::fake_log_service log;
    log.lose_answers(1);
    node n(log);
    EXPECT_EQ(n.propose(service_change("a", "s")).code, result_code::ok);
    EXPECT_EQ(n.published.state()->services.size(), 1U);
    EXPECT_EQ(n.propose(service_change("b", "s")).code, result_code::conflict);
    EXPECT_EQ(n.tracker.find(change_id("a"))->code, result_code::ok);
    EXPECT_EQ(n.tracker.find(change_id("c")), std::nullopt);
    EXPECT_TRUE(fakes::eventually(max_wait, [&] { return n.applied() == 3; }))
        << "expected the records of a, its retry and b";
}

// Guards against a change that is reported as accepted while the log is unavailable: its outcome is
// unknown.
TEST(state_duties, reports_an_unknown_outcome_during_a_log_outage)
{
    fakes::fake_log_service log;
    log.set_down(true);
    node n(log);
    ASSERT_TRUE(is_ok(n.queue.append(service_change("a", "s"))));
    EXPECT_EQ(n.tracker.wait(change_id("a"), absl::Milliseconds(20)).code,
              result_code::outcome_unknown);
    log.set_down(false);
    EXPECT_EQ(n.tracker.wait(change_id("a"), max_wait).code, result_code::ok);
}

// Guards against a node that falls behind its peers while it can't reach the log: it must fetch a
// snapshot from a peer if it has no state, and records after that.
TEST(state_duties, catches_up_from_a_peer_while_the_log_is_down)
{
    fakes::fake_log_service log;
    node ahead(log);
    EXPECT_EQ(ahead.propose(service_change("a", "s1")).code, result_code::ok);
    fakes::fake_log_service unreachable;
    unreachable.set_down(true);
    fakes::fake_peer_client peers(ahead.published);
    node behind(unreachable, &peers);
    ASSERT_TRUE(behind.inbox.push(view_with_peer(ahead.applied())));
    ASSERT_TRUE(fakes::eventually(max_wait, [&] { return behind.published.ready(); }));
    EXPECT_EQ(ahead.propose(service_change("b", "s2")).code, result_code::ok);
    ASSERT_TRUE(behind.inbox.push(view_with_peer(ahead.applied())));
    EXPECT_TRUE(fakes::eventually(max_wait,
                                  [&] { return behind.published.state()->services.size() == 2; }));
}

// Guards against declarations that are lost when the log truncates them: the lease holder writes
// snapshots, and a new node starts from one.
TEST(state_duties, starts_a_new_node_from_a_snapshot_in_the_log)
{
    fakes::fake_log_service log;
    node first(log);
    EXPECT_EQ(first.propose(service_change("a", "s")).code, result_code::ok);
    EXPECT_EQ(first
                  .propose({change_id("l"), lease_grant{snapshot_writer::lease_scope, node_id("n1"),
                                                        absl::Seconds(15), 0}})
                  .code,
              result_code::ok);
    ASSERT_TRUE(
        fakes::eventually(max_wait, [&] { return first.published.progress().snapshots_seen > 0; }));
    log.set_retention(1);
    node second(log);
    ASSERT_TRUE(fakes::eventually(max_wait, [&] { return second.published.ready(); }));
    EXPECT_EQ(second.published.state()->services.size(), 1U);
    EXPECT_EQ(second.applied(), first.applied());
}

// Guards against a restarted keeper that reverts the published state or notifies listeners of a
// claim twice.
TEST(state_duties, resumes_a_restarted_keeper_without_repeated_notifications)
{
    const system_clock clock;
    published_state published;
    counting_listener listener;
    const auto run_keeper = [&](const std::vector<log_batch>& batches) {
        bounded_ring<keeper_event> inbox(16);
        state_keeper keeper({.time = clock,
                             .machine = {.team_keys = {{team_id("t"), "key"}}},
                             .inbox = inbox,
                             .published = published,
                             .listeners = {&listener}});
        for (const log_batch& batch : batches)
            ASSERT_TRUE(inbox.try_push(batch));
        inbox.close();
        keeper.run();
    };
    const auto entry = [](std::uint64_t offset, const record& value) {
        return log_entry{offset, encode_record(value)};
    };
    const log_batch claims{.stream = claims_stream,
                           .first = 1,
                           .next = 2,
                           .entries = {entry(1, {change_id("k"), claim{"k", node_id("n"), 1}})}};
    run_keeper({{.stream = control_stream,
                 .first = 1,
                 .next = 2,
                 .entries = {entry(1, service_change("a", "s1"))}},
                {.stream = control_stream,
                 .first = 1,
                 .next = 3,
                 .entries = {entry(2, service_change("b", "s2"))}},
                claims});
    EXPECT_EQ(listener.applied, 3);
    const auto previous_state = published.state();
    run_keeper({claims});
    EXPECT_TRUE(same_state(*published.state(), *previous_state));
    EXPECT_EQ(published.state()->applied_offset, 2U);
    EXPECT_EQ(listener.applied, 3);
    EXPECT_EQ(get_value(published.records_from(2)).size(), 1U);
}

// Guards against a node that loses the results of idempotency keys when it starts from a snapshot.
TEST(state_duties, notifies_listeners_of_the_claims_in_a_snapshot)
{
    state_machine machine({.team_keys = {{team_id("t"), "key"}}});
    machine.apply(control_stream, service_change("a", "s1"), 1);
    machine.apply(claims_stream, {change_id("k"), claim{"k", node_id("n"), 1}}, 1);
    machine.apply(claims_stream, {change_id("r"), claim_result{"k", node_id("n"), "answered", "7"}},
                  2);
    published_state published;
    published.store_snapshot(encode_snapshot(machine.export_snapshot()));
    const system_clock clock;
    counting_listener listener;
    bounded_ring<keeper_event> inbox(1);
    inbox.close();
    state_keeper({.time = clock,
                  .machine = {.team_keys = {{team_id("t"), "key"}}},
                  .inbox = inbox,
                  .published = published,
                  .listeners = {&listener}})
        .run();
    ASSERT_EQ(listener.restored.size(), 1U);
    EXPECT_EQ(listener.restored[0].body, "7");
}

// Guards against peers that mistake discarded records for the end of the log: reading them must
// fail instead of returning no records.
TEST(published_state, rejects_reads_of_discarded_records)
{
    published_state published(200);
    published.add_records({{1, std::string(90, 'a')}, {2, "b"}, {3, "c"}});
    cluster_state state;
    state.applied_offset = 3;
    published.publish(std::make_shared<const cluster_state>(state), true, {});
    EXPECT_EQ(get_error(published.records_from(1)).code, result_code::log_truncated);
    EXPECT_EQ(get_value(published.records_from(3)), (std::vector<log_entry>{{3, "c"}}));
    EXPECT_TRUE(get_value(published.records_from(4)).empty());
}
