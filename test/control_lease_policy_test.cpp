#include "chivedeal/control/lease_policy.hpp"

#include "chivedeal/control/lease_feed.hpp"
#include "chivedeal/control/lease_keeper.hpp"
#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "fakes/fake_control_log.hpp"
#include "fakes/fake_record_sink.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>

using namespace chivedeal;          // NOLINT(google-build-using-namespace)
using namespace chivedeal::control; // NOLINT(google-build-using-namespace)

namespace {

constexpr absl::Duration term = absl::Seconds(15);
const absl::Time start_time = absl::FromUnixSeconds(1'000'000);

lease_event empty_state()
{
    return state_update{.state = std::make_shared<const state::cluster_state>()};
}

// A node whose clock has a fixed offset. Its appends are queued in `m_in_flight`; the test delivers
// them to the log later or drops them.
class simulated_node
{
public:
    simulated_node(int index, absl::Duration offset)
        : m_policy({.self = node_id("n" + std::to_string(index)),
                    .term = term,
                    .scopes = {"snapshots"},
                    .change_prefix = "n" + std::to_string(index)}),
          m_offset(offset)
    {}

    void handle(const lease_event& event, absl::Time true_time)
    {
        for (const auto& entry : m_policy.handle(event, true_time + m_offset))
            m_in_flight.push_back(entry);
    }

    void read_log(const fakes::fake_control_log& log, std::size_t count, absl::Time true_time)
    {
        if (m_read == 0 && !m_started)
            handle(empty_state(), true_time);
        m_started = true;
        for (; count > 0 && m_read < log.applied().size(); --count)
            handle(log.applied()[m_read++], true_time);
    }

    // Delivers the oldest append. With `keep` it stays queued and is sent again, as after a lost
    // response.
    void send_oldest_append(fakes::fake_control_log& log, bool keep)
    {
        if (m_in_flight.empty())
            return;
        log.append(m_in_flight.front());
        if (!keep)
            m_in_flight.pop_front();
    }

    void lose_oldest_append()
    {
        if (!m_in_flight.empty())
            m_in_flight.pop_front();
    }

    bool holds(absl::Time true_time) const
    {
        return m_policy.holds("snapshots", true_time + m_offset);
    }

    std::uint64_t fence() const { return m_policy.held().leases.front().fencing_token; }

private:
    lease_policy m_policy;
    absl::Duration m_offset;
    std::deque<state::record> m_in_flight;
    std::size_t m_read = 0;
    bool m_started = false;
};

void run_until_held(simulated_node& node, fakes::fake_control_log& log, absl::Time& now)
{
    for (int i = 0; i < 100 && !node.holds(now); ++i) {
        now += absl::Seconds(1);
        node.read_log(log, 100, now);
        node.handle(lease_tick{}, now);
        node.send_oldest_append(log, false);
        node.read_log(log, 100, now);
    }
}

// Uniform in [0, limit). Without the fixed size, inRange() stays near zero in the first runs.
int random_below(int limit)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

} // namespace

// Guards against a free lease that no node acquires and a held lease that is not renewed in time.
TEST(lease_policy, acquires_and_renews)
{
    fakes::fake_control_log log;
    absl::Time now = start_time;
    simulated_node node(1, absl::Hours(5));
    run_until_held(node, log, now);
    ASSERT_TRUE(node.holds(now));
    for (int i = 0; i < 200; ++i) {
        now += absl::Seconds(1);
        node.handle(lease_tick{}, now);
        node.send_oldest_append(log, false);
        node.read_log(log, 100, now);
        ASSERT_TRUE(node.holds(now)) << "second " << i;
    }
    // Renewals are due after a third of the term, so there is at most one append every 5 s.
    EXPECT_LE(log.applied().size(), 42U);
}

// Guards against a term that starts at the read-back: after an append that takes 14 s, one second
// of the term of 15 s is left.
TEST(lease_policy, starts_term_when_append_is_sent)
{
    fakes::fake_control_log log;
    absl::Time now = start_time;
    simulated_node node(1, absl::ZeroDuration());
    node.read_log(log, 0, now);
    now += term;
    node.handle(lease_tick{}, now);
    node.send_oldest_append(log, false);
    now += absl::Seconds(14);
    node.read_log(log, 1, now);
    EXPECT_TRUE(node.holds(now));
    EXPECT_FALSE(node.holds(now + absl::Seconds(1)));
}

// Guards against a scope without a holder for a whole term after a planned shutdown.
TEST(lease_policy, release_allows_takeover_within_a_term)
{
    fakes::fake_control_log log;
    absl::Time now = start_time;
    simulated_node first(1, absl::ZeroDuration());
    simulated_node second(2, absl::ZeroDuration());
    run_until_held(first, log, now);
    first.handle(release_leases{}, now);
    EXPECT_FALSE(first.holds(now));
    first.send_oldest_append(log, false);
    const absl::Time released = now;
    run_until_held(second, log, now);
    EXPECT_LT(now - released, term);
    first.handle(lease_tick{}, now + absl::Hours(1));
    EXPECT_FALSE(first.holds(now + absl::Hours(1)));
}

// Guards against two simultaneous holders under clock offsets, pauses, late reads, and lost,
// repeated or late appends. Also guards against a new holder without a higher fencing token, with
// which an order of the paused previous holder would be accepted.
RC_GTEST_PROP(lease_policy, never_has_two_holders, ())
{
    fakes::fake_control_log log;
    std::vector<simulated_node> nodes;
    for (int i = 0; i < 3; ++i)
        nodes.emplace_back(i, absl::Seconds(random_below(200'000) - 100'000));
    absl::Time now = start_time;
    std::uint64_t max_fence = 0;
    int last_holder = -1;
    int holder_changes = 0;
    for (int step = 0; step < 500; ++step) {
        now += absl::Milliseconds(random_below(400));
        simulated_node& actor = nodes[random_below(3)];
        const int action = random_below(40);
        if (action < 12)
            actor.handle(lease_tick{}, now);
        else if (action < 24)
            actor.send_oldest_append(log, action < 14);
        else if (action < 38)
            actor.read_log(log, random_below(6), now);
        else if (action == 38)
            actor.lose_oldest_append();
        else
            now += absl::Seconds(random_below(20));
        int holders = 0;
        for (int i = 0; i < 3; ++i) {
            if (!nodes[i].holds(now))
                continue;
            ++holders;
            if (i != last_holder) {
                RC_ASSERT(nodes[i].fence() > max_fence);
                ++holder_changes;
            }
            last_holder = i;
            max_fence = nodes[i].fence();
        }
        RC_ASSERT(holders <= 1);
    }
    RC_CLASSIFY(holder_changes > 0, "held");
    RC_CLASSIFY(holder_changes > 1, "taken over");
}

// Guards against a move or placement scope that no node competes for.
TEST(lease_scope, node_scopes_contain_move_and_placement_scopes)
{
    const auto scopes = lease_scopes(region_id("r1"));
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(std::count(scopes.begin(), scopes.end(),
                             move_scope(service_id("service" + std::to_string(i)))),
                  1);
    EXPECT_EQ(std::count(scopes.begin(), scopes.end(), placement_scope(region_id("r1"))), 1);
}

// Guards against a keeper that does not forward events to the policy, or that reuses change
// identifiers after a restart; the log would ignore those records.
TEST(lease_keeper, acquires_and_renews_through_rings)
{
    const system_clock time;
    std::vector<change_id> changes;
    for (int start = 0; start < 2; ++start) {
        bounded_ring<lease_event> inbox(16);
        fakes::fake_record_sink sink;
        shared_cell<held_leases> held(std::make_shared<const held_leases>());
        lease_feed feed(inbox);
        lease_keeper keeper({.time = time,
                             .inbox = inbox,
                             .records = sink,
                             .held_leases = held,
                             .policy = {.self = node_id("n1"),
                                        .term = absl::Milliseconds(500),
                                        .scopes = {"snapshots"},
                                        .change_prefix = ""}});
        posix_thread thread("lease_keeper", [&] { keeper.run(); });
        feed.on_state(std::make_shared<const state::cluster_state>());
        const auto grant = sink.m_records.pop(absl::Seconds(10));
        ASSERT_TRUE(grant.has_value());
        changes.push_back(grant->change);
        feed.on_applied({.stream = "control", .offset = 1, .entry = *grant, .effect = {}});
        const auto renewal = sink.m_records.pop(absl::Seconds(10));
        ASSERT_TRUE(renewal.has_value());
        EXPECT_EQ(std::get<state::lease_grant>(renewal->body).previous_offset, 1U);
        keeper.request_stop();
    }
    EXPECT_NE(changes[0], changes[1]);
}
