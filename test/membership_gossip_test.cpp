#include "chivedeal/membership/gossip.hpp"

#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/membership/gossip_inbox.hpp"
#include "chivedeal/membership/instance_watcher.hpp"
#include "fakes/fake_clock.hpp"
#include "fakes/fake_instance_source.hpp"
#include "fakes/fake_membership_listener.hpp"
#include "fakes/rpc_node.hpp"

#include <gtest/gtest.h>

using namespace chivedeal;
using namespace chivedeal::membership;

namespace {

// The threads of the membership supervisor of one node, over real sockets.
class running_node
{
public:
    running_node(const std::string& name, std::vector<address> seeds)
        : where(fakes::loopback_socket::unused_address()),
          m_server({.listen = where, .link = m_link, .handler = m_handler, .inbox = inbox.ring()}),
          m_gossip({.decisions = {.self = {.id = node_id(name), .rpc = where},
                                  .seeds = std::move(seeds),
                                  .interval = absl::Milliseconds(20)},
                    .time = m_clock,
                    .inbox = inbox,
                    .transport = m_client,
                    .listeners = {&views}}),
          m_watcher({.source = source, .inbox = inbox, .interval = absl::Milliseconds(10)}),
          m_server_thread("rpc", [this] { m_server.run(); }),
          m_gossip_thread("gossip", [this] { m_gossip.run(); }),
          m_watcher_thread("watcher", [this] { m_watcher.run(); })
    {}

    ~running_node()
    {
        m_watcher.request_stop();
        m_gossip.request_stop();
        m_server.request_stop();
    }

private:
    system_clock m_clock;

public:
    address where;
    gossip_inbox inbox{m_clock};
    fakes::fake_membership_listener views;
    fakes::fake_instance_source source;

private:
    peer_link m_link;
    fakes::fake_peer_handler m_handler;
    rpc_peer_client m_client{m_link};
    peer_server m_server;
    gossip m_gossip;
    instance_watcher m_watcher;
    posix_thread m_server_thread;
    posix_thread m_gossip_thread;
    posix_thread m_watcher_thread;
};

const endpoint_id instance{"i1"};

bool has_leaving(const membership_view& view)
{
    return view.endpoints.size() == 1 && view.endpoints[0].status == endpoint_status::leaving;
}

} // namespace

// Guards against nodes that do not find each other, and against a notice at one node that another
// node, whose list lags, does not act on.
TEST(gossip, brings_a_notice_to_a_node_that_has_not_seen_it)
{
    running_node one("one", {});
    running_node other("other", {one.where});
    other.source.set({{.id = instance}}, {});
    other.views.wait_for([](const membership_view& view) {
        return view.nodes.size() == 2 && view.endpoints.size() == 1;
    });
    one.source.set({}, {{.sequence = 1, .endpoint = instance, .remaining = absl::Seconds(30)}});
    const auto view = other.views.wait_for(has_leaving);
    EXPECT_NE(view->endpoints[0].reclaim_at, absl::InfiniteFuture());
}

// Guards against demand, offset and leaving that do not reach the other nodes.
TEST(gossip, publishes_the_values_of_this_node)
{
    running_node one("one", {});
    running_node other("other", {one.where});
    one.inbox.publish_ready();
    one.inbox.publish_offset(7);
    one.inbox.publish_demand({{workspace_id("w"), 2.5}}, {{workspace_id("w"), 3}});
    one.inbox.publish_leaving();
    const auto view = other.views.wait_for([](const membership_view& seen) {
        return seen.demand.size() == 1 && seen.nodes.size() == 2 &&
               seen.nodes[0].status == node_status::leaving;
    });
    EXPECT_TRUE(view->nodes[0].ready);
    EXPECT_EQ(view->nodes[0].applied_offset, 7U);
    EXPECT_EQ(view->demand.at(workspace_id("w")).at(node_id("one")), 2.5);
}

// Guards against facts that a full ring or a restart of the thread loses.
TEST(gossip_inbox, keeps_facts_beyond_the_ring_and_for_a_restart)
{
    fakes::fake_clock time;
    gossip_inbox inbox(time, 1);
    for (int i = 0; i < 10; ++i)
        inbox.publish_fact(endpoint_leaving{.endpoint = endpoint_id(std::to_string(i)),
                                            .remaining = absl::Seconds(30)});
    inbox.publish_fact(
        endpoint_leaving{.endpoint = endpoint_id("3"), .remaining = absl::Seconds(20)});
    EXPECT_EQ(inbox.take_local().size(), 10U);
    EXPECT_TRUE(inbox.take_local().empty());
    time.advance(absl::Seconds(10));
    inbox.replay();
    const auto again = inbox.take_local();
    ASSERT_EQ(again.size(), 10U);
    const auto& first = std::get<endpoint_leaving>(std::get<local_fact>(again[0]).value);
    EXPECT_EQ(first.remaining, absl::Seconds(20));
}
