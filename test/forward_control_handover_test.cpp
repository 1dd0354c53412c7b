#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/topic.hpp"
#include "fakes/control_node.hpp"
#include "fakes/control_system.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::control_system;

constexpr absl::Duration rollout_duration = absl::Seconds(12);

rollout_order make_order(std::uint64_t offset = 5)
{
    return {.service = service_id("s"),
            .target = version_id("v2"),
            .duration = rollout_duration,
            .offset = offset};
}

const std::vector<std::string> all_nodes = {"n1", "n2", "n3"};

// Starts three nodes; n1 holds the lease.
void start_nodes(control_system& system)
{
    system.add("n1");
    system.step();
    system.step();
    system.add("n2");
    system.add("n3");
    system.run(absl::Seconds(2));
}

void restart_all(control_system& system)
{
    system.nodes.clear();
    for (const std::string& name : all_nodes)
        system.add(name);
}

// The status of one order goes from running to one final state and stays there.
void expect_states_never_go_back(const control_system& system)
{
    const std::vector<rollout_state> states = system.stored_states();
    const auto final_state = std::find_if(states.begin(), states.end(), [](rollout_state state) {
        return state != rollout_state::running;
    });
    ASSERT_NE(final_state, states.end());
    EXPECT_EQ(std::count(final_state, states.end(), *final_state),
              std::distance(final_state, states.end()));
}

// All nodes send requests to the endpoints that the stored state leaves.
void expect_nodes_follow_the_stored_state(const control_system& system)
{
    const bool is_done = system.has_ended(rollout_state::done);
    for (const auto& [name, node] : system.nodes)
        EXPECT_EQ(node->share().value_or(1) > 0, is_done) << name;
}

// Guards against review/6: after a rolling restart, a new holder wrote "running" over "done", and
// all nodes rolled back the only version that was left.
TEST(control_handover, new_holder_keeps_the_final_state_of_a_roll_out)
{
    control_system system(0);
    start_nodes(system);
    system.order(make_order());
    system.run(absl::Seconds(5));
    system.restart("n2");
    system.run(absl::Seconds(5));
    system.restart("n3");
    system.run(absl::Seconds(2));
    ASSERT_TRUE(system.has_ended(rollout_state::done));
    system.nodes.erase("n1");
    system.run(absl::Seconds(5));
    expect_states_never_go_back(system);
    restart_all(system);
    system.run(absl::Seconds(20));
    expect_states_never_go_back(system);
    expect_nodes_follow_the_stored_state(system);
}

// Guards against a holder that has just started, has read the status of another order, and writes
// over that of this one.
TEST(control_handover, holder_reads_the_status_of_each_order)
{
    control_system system(0);
    start_nodes(system);
    system.order(make_order());
    system.run(rollout_duration);
    ASSERT_TRUE(system.has_ended(rollout_state::done));
    system.nodes.clear();
    fakes::control_node& holder = system.add_without_order("n1");
    system.run(absl::Seconds(5));
    rollout_order other_order = make_order();
    other_order.service = service_id("t");
    holder.handle({node_event::rollout_ordered{other_order}});
    system.step();
    ASSERT_TRUE(system.has_record(topic::rollout_status, "rollout/t", "running"));
    holder.order(make_order());
    system.run(absl::Seconds(5));
    expect_states_never_go_back(system);
    expect_nodes_follow_the_stored_state(system);
}

// Guards against a status that the store accepts without a response and executes after later ones.
TEST(control_handover, late_append_does_not_replace_a_final_state)
{
    control_system system(0);
    start_nodes(system);
    system.topics->delayed_topic = topic::rollout_status;
    system.order(make_order());
    system.run(absl::Seconds(1));
    system.topics->delayed_topic.reset();
    ASSERT_FALSE(system.topics->late_appends.empty());
    system.run(rollout_duration);
    ASSERT_TRUE(system.has_ended(rollout_state::done));
    system.topics->execute_late_appends();
    expect_states_never_go_back(system);
    restart_all(system);
    system.run(absl::Seconds(20));
    expect_states_never_go_back(system);
    expect_nodes_follow_the_stored_state(system);
}

enum class trouble
{
    holder_ends,
    holder_restarts,
    holder_is_cut_off,
    others_restart,
    other_node_is_cut_off,
    all_restart,
};

// The term of the lease, the largest stagger, and a second to read and write.
constexpr absl::Duration max_takeover_time = absl::Milliseconds(4750);
constexpr absl::Duration cut_off_time = absl::Seconds(6);

void apply(trouble kind, control_system& system)
{
    switch (kind) {
    case trouble::holder_ends:
        system.nodes.erase("n1");
        return;
    case trouble::holder_restarts:
        return system.restart("n1");
    case trouble::others_restart:
        system.restart("n2");
        return system.restart("n3");
    case trouble::holder_is_cut_off:
    case trouble::other_node_is_cut_off: {
        const char* name = kind == trouble::holder_is_cut_off ? "n1" : "n2";
        system.nodes.at(name)->set_cut_off(true);
        system.run(cut_off_time);
        return system.nodes.at(name)->set_cut_off(false);
    }
    case trouble::all_restart:
        return restart_all(system);
    }
}

// Calls `check` for each pair of troubles, the first one `step` ticks after `begin` was called.
template<typename Begin, typename Check>
void for_each_trouble(int steps, int interval, Begin begin, Check check)
{
    constexpr trouble kinds[] = {trouble::holder_ends,           trouble::holder_restarts,
                                 trouble::others_restart,        trouble::holder_is_cut_off,
                                 trouble::other_node_is_cut_off, trouble::all_restart};
    for (int step = 0; step < steps; step += interval)
        for (const trouble first : kinds)
            for (const trouble second : kinds) {
                SCOPED_TRACE(absl::StrCat("step ", step, ", trouble ", static_cast<int>(first),
                                          ", then ", static_cast<int>(second)));
                control_system system(0);
                start_nodes(system);
                begin(system);
                for (int i = 0; i < step; ++i)
                    system.step();
                apply(first, system);
                system.run(absl::Seconds(2));
                if (system.nodes.count("n1") == 0)
                    system.add("n1");
                apply(second, system);
                const absl::Time end_of_trouble = system.clock.now();
                system.run(absl::Seconds(30));
                check(system, end_of_trouble);
            }
}

void order_v2(control_system& system) { system.order(make_order()); }

// Guards against a second holder, one that has just started or was cut off, that contradicts what
// the first one stored, at each step of a roll-out; also after the trouble of another kind.
TEST(control_handover, roll_out_states_never_go_back)
{
    for_each_trouble(64, 3, order_v2, [](const control_system& system, absl::Time) {
        expect_states_never_go_back(system);
        expect_nodes_follow_the_stored_state(system);
    });
}

// Guards against a sound version that is rolled back or late because a second holder begins the
// evaluation anew.
TEST(control_handover, roll_out_goes_on_from_the_stored_evidence)
{
    for_each_trouble(64, 3, order_v2, [](const control_system& system, absl::Time end_of_trouble) {
        EXPECT_LE(system.done_at(), std::max(system.ordered_at() + rollout_duration,
                                             end_of_trouble + max_takeover_time));
    });
}

// Guards against a second holder that reports a window with other counts, or reports no more.
TEST(control_handover, usage_reports_are_never_contradicted)
{
    const auto begin = [](control_system& system) { system.run(absl::Seconds(8)); };
    for_each_trouble(40, 1, begin, [](const control_system& system, absl::Time) {
        EXPECT_FALSE(system.platform.has_conflict());
        ASSERT_FALSE(system.platform.accepted().empty());
        // A window is reported at most 10 s after its end.
        EXPECT_GE(system.platform.accepted().rbegin()->first,
                  absl::ToUnixSeconds(system.clock.now() - absl::Seconds(10)) / 5 - 1);
    });
}

// Guards against a former holder that was cut off for so long that the grant of the next one has
// expired from the log, and that goes on as the holder.
TEST(control_handover, holder_gives_up_a_lease_whose_later_grants_have_expired)
{
    control_system system(0);
    start_nodes(system);
    system.run(absl::Seconds(10));
    fakes::control_node& former = *system.nodes.at("n1");
    former.set_cut_off(true);
    system.run(absl::Seconds(20));
    ASSERT_TRUE(system.nodes.at("n2")->make_beacon().lease_token ||
                system.nodes.at("n3")->make_beacon().lease_token);
    system.topics->expire(topic::lease);
    // Records expire long after the windows that they plan.
    system.run(absl::Seconds(20));
    former.set_cut_off(false);
    former.set_cut_off_from_peers(true);
    system.run(absl::Seconds(10));
    EXPECT_EQ(system.platform.stale_calls(), 0);
    EXPECT_FALSE(system.platform.has_conflict());
}

// Guards against a bad version that gets requests while the store doesn't answer: its status can't
// be read, but its failures show.
TEST(control_handover, bad_version_loses_its_traffic_while_the_store_is_down)
{
    control_system system(0);
    start_nodes(system);
    system.topics->set_down(true);
    system.target_failure_interval = 1;
    system.order(make_order());
    system.run(absl::Seconds(5));
    for (const auto& [name, node] : system.nodes)
        EXPECT_EQ(node->share(), 0) << name;
    EXPECT_LE(system.target_failures, 50);
    system.topics->set_down(false);
    system.run(absl::Seconds(5));
    EXPECT_TRUE(system.has_ended(rollout_state::rolled_back));
}

// Guards against a node that starts while the store doesn't answer and takes the only version out
// of use, because it knows of no evidence when the duration of the roll-out is over.
TEST(control_handover, node_without_the_status_keeps_the_only_version)
{
    control_system system(0);
    start_nodes(system);
    system.order(make_order());
    system.run(rollout_duration);
    ASSERT_TRUE(system.has_ended(rollout_state::done));
    system.topics->set_down(true);
    restart_all(system);
    for (absl::Duration elapsed; elapsed < absl::Seconds(20); elapsed += absl::Seconds(1)) {
        system.run(absl::Seconds(1));
        for (const auto& [name, node] : system.nodes)
            EXPECT_GT(node->share().value_or(1), 0) << name;
    }
}

// Guards against a second order for a version that takes the result of the first one.
TEST(control_handover, repeated_order_is_evaluated_anew)
{
    control_system system(0);
    start_nodes(system);
    system.target_failure_interval = 1;
    system.order(make_order(5));
    system.run(rollout_duration);
    ASSERT_TRUE(system.has_ended(rollout_state::rolled_back));
    system.target_failure_interval = 7;
    system.order(make_order(6));
    system.run(absl::Seconds(3));
    restart_all(system);
    system.run(rollout_duration);
    EXPECT_TRUE(system.has_ended(rollout_state::done));
}

// Guards against a bad version that gets requests for ever because each restart of all nodes begins
// the count of its failures anew. The platform allows 50 failures.
TEST(control_handover, failures_of_a_version_are_counted_over_restarts)
{
    for (int lifetime_s = 4; lifetime_s <= 6; ++lifetime_s) {
        SCOPED_TRACE(lifetime_s);
        control_system system(0);
        start_nodes(system);
        system.target_failure_interval = 3;
        rollout_order order = make_order();
        order.duration = absl::Minutes(10);
        system.order(order);
        for (int restarts = 0; restarts < 30; ++restarts) {
            system.run(absl::Seconds(lifetime_s));
            restart_all(system);
        }
        system.run(absl::Seconds(10));
        EXPECT_TRUE(system.has_ended(rollout_state::rolled_back));
        EXPECT_LE(system.target_failures, 50);
    }
}

} // namespace
} // namespace chivedeal::forward
