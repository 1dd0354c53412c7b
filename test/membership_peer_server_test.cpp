#include "chivedeal/membership/peer_server.hpp"

#include "chivedeal/membership/gossip_command.hpp"
#include "fakes/rpc_node.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>
#include <string>

using namespace chivedeal;
using namespace chivedeal::membership;
using fakes::rpc_node;

namespace {

// Long enough that no loaded machine reaches it; tests on timeouts use a frozen peer.
constexpr absl::Duration patient = absl::Hours(1);

gossip_message message_of(const std::string& name) { return {.sender = {.id = node_id(name)}}; }

} // namespace

// Guards against records, snapshots and streams that reach a peer damaged or not at all.
TEST(peer_server, serves_records_snapshots_and_streams)
{
    rpc_node one(patient);
    rpc_node other(patient);
    const auto records = one.client.records_from(other.where, 1);
    ASSERT_TRUE(is_ok(records)) << to_string(get_error(records));
    EXPECT_EQ(get_value(records),
              (std::vector<state::log_entry>{{1, "{\"a\":1}"}, {2, "{\"b\":2}"}}));
    EXPECT_EQ(get_value(one.client.snapshot(other.where)), std::string("snap\0shot", 9));
    const stream_state stream{.request = request_id("r"), .body = "{}", .tokens = {"a", "b"}};
    EXPECT_TRUE(is_ok(one.client.hand_off(other.where, stream)));
    EXPECT_EQ(other.handler.streams.pop(), stream);
}

// Guards against a refused stream that its old owner forgets.
TEST(peer_server, reports_a_refusal)
{
    rpc_node one(patient);
    rpc_node other(patient);
    EXPECT_EQ(get_error(one.client.records_from(other.where, 3)).code, result_code::peer_refused);
    const stream_state stream{.request = request_id("r")};
    EXPECT_TRUE(is_ok(one.client.hand_off(other.where, stream)));
    EXPECT_EQ(get_error(one.client.hand_off(other.where, stream)).code, result_code::peer_refused);
    const auto malformed = one.client.hand_off(other.where, stream_state{});
    EXPECT_EQ(get_error(malformed).code, result_code::peer_refused);
}

// Guards against a call without an end to a frozen peer.
TEST(peer_server, limits_a_call_to_a_frozen_peer)
{
    rpc_node one(absl::Milliseconds(200));
    const fakes::loopback_socket frozen;
    EXPECT_EQ(get_error(one.client.snapshot(frozen.listen_address())).code, result_code::timeout);
}

// Guards against one frozen peer that holds up calls to the others, and against a stop that waits
// for it.
TEST(peer_server, serves_others_while_a_peer_is_frozen)
{
    const fakes::loopback_socket frozen;
    std::atomic<bool> returned{false};
    result<std::string> answer;
    auto one = std::make_unique<rpc_node>(patient);
    rpc_node other(patient);
    posix_thread caller("caller", [&, &client = one->client] {
        answer = client.snapshot(frozen.listen_address());
        returned = true;
    });
    for (int i = 0; i < 50; ++i)
        EXPECT_TRUE(is_ok(one->client.snapshot(other.where)));
    EXPECT_FALSE(returned);
    one->server.request_stop();
    caller.join();
    EXPECT_EQ(get_error(answer).code, result_code::peer_unreachable);
}

// Guards against a peer that stopped and is not told apart from one that refuses.
TEST(peer_server, reports_an_unreachable_peer)
{
    rpc_node one(patient);
    const address nobody = fakes::loopback_socket::unused_address();
    EXPECT_EQ(get_error(one.client.snapshot(nobody)).code, result_code::peer_unreachable);
    peer_link unused;
    EXPECT_EQ(get_error(rpc_peer_client(unused).snapshot(one.where)).code,
              result_code::peer_unreachable);
}

// Guards against a restarted peer that is never reached again over its old connection.
TEST(peer_server, connects_again_to_a_restarted_peer)
{
    rpc_node one(patient);
    auto other = std::make_unique<rpc_node>(patient);
    const address where = other->where;
    EXPECT_TRUE(is_ok(one.client.snapshot(where)));
    other.reset();
    EXPECT_EQ(get_error(one.client.snapshot(where)).code, result_code::peer_unreachable);
    other = std::make_unique<rpc_node>(patient, where);
    EXPECT_TRUE(is_ok(one.client.snapshot(where)));
}

// Guards against an exchange whose answer is lost or goes to another caller.
TEST(peer_server, carries_an_exchange_there_and_back)
{
    rpc_node one(patient);
    rpc_node other(patient);
    one.client.exchange({other.where, message_of("one")});
    const auto received = other.inbox.pop();
    const auto& exchange = std::get<exchange_received>(*received);
    EXPECT_EQ(exchange.message, message_of("one"));
    other.client.answer({exchange.reply, message_of("other")});
    const auto answered = one.inbox.pop();
    EXPECT_EQ(std::get<exchange_answered>(*answered).message, message_of("other"));
    const address nobody = fakes::loopback_socket::unused_address();
    one.client.exchange({nobody, message_of("one")});
    const auto failed = one.inbox.pop();
    EXPECT_EQ(std::get<exchange_failed>(*failed).peer, nobody);
}

// Guards against an indirect probe that reports the helper in place of the target.
TEST(peer_server, probes_directly_and_through_a_peer)
{
    rpc_node one(patient);
    rpc_node helper(patient);
    rpc_node target(patient);
    const auto probe = [&](const address& via, const address& asked) {
        one.client.probe({via, node_id("t"), asked});
        const auto event = one.inbox.pop();
        return std::get<probe_finished>(*event).reached;
    };
    const address nobody = fakes::loopback_socket::unused_address();
    EXPECT_TRUE(probe(target.where, target.where));
    EXPECT_TRUE(probe(helper.where, target.where));
    EXPECT_FALSE(probe(helper.where, nobody));
    EXPECT_FALSE(probe(nobody, target.where));
}

// Guards against a stop before the start that is lost.
TEST(peer_server, ends_when_stopped_before_it_runs)
{
    peer_link link;
    fakes::fake_peer_handler handler;
    bounded_ring<gossip_event> inbox(1);
    peer_server server({.listen = fakes::loopback_socket::unused_address(),
                        .link = link,
                        .handler = handler,
                        .inbox = inbox});
    server.request_stop();
    server.run();
}

// Guards against a port in use that is reported without a number.
TEST(peer_server, refuses_a_port_in_use)
{
    const fakes::loopback_socket taken;
    peer_link link;
    fakes::fake_peer_handler handler;
    bounded_ring<gossip_event> inbox(1);
    peer_server server(
        {.listen = taken.listen_address(), .link = link, .handler = handler, .inbox = inbox});
    try {
        server.run();
        FAIL() << "listens on a port in use";
    }
    catch (const std::runtime_error& fault) {
        EXPECT_EQ(std::string(fault.what()).rfind("101 invalid_setting: cannot listen on", 0), 0U)
            << fault.what();
    }
}
