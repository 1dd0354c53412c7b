#ifndef CHIVEDEAL_SRC_MEMBERSHIP_PEER_LOOP_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_PEER_LOOP_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/membership/peer_server.hpp"
#include "peer_work_queue.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/function.h>
#include <kj/refcount.h>
#include <peer.capnp.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace chivedeal::membership {

struct send_exchange;
struct send_probe;

/// What lives in the RPC thread: connections to peers and exchanges that wait for gossip.
class peer_loop : private kj::TaskSet::ErrorHandler
{
public:
    peer_loop(kj::AsyncIoContext& io, const peer_server::options& wiring);

    /// Calls a method of the peer within the timeout. A connection that failed is not used again.
    template<class T>
    kj::Promise<T> call(const address& peer,
                        kj::Function<kj::Promise<T>(wire::Peer::Client)> method)
    {
        auto work = connect(peer).then(
            [method = kj::mv(method)](kj::Own<connection>&& open) mutable -> kj::Promise<T> {
                auto answer = method(open->peer);
                return answer.attach(kj::mv(open));
            });
        return m_io.provider->getTimer()
            .timeoutAfter(m_timeout, kj::mv(work))
            .catch_([this, peer](kj::Exception&& fault) -> kj::Promise<T> {
                m_connections.remove_if([&](const auto& item) { return item.first == peer; });
                return kj::mv(fault);
            });
    }

    /// Calls a method of the peer and gives its result or fault to one of the functions, neither of
    /// which is called when the loop ends first.
    template<class T>
    void start_call(const address& peer, kj::Function<kj::Promise<T>(wire::Peer::Client)> method,
                    kj::Function<void(T&&)> succeed, kj::Function<void(kj::Exception&&)> fail)
    {
        m_tasks.add(call<T>(peer, kj::mv(method)).then(kj::mv(succeed), kj::mv(fail)));
    }

    /// Runs the queue's work until the queue is closed.
    kj::Promise<void> serve(kj::AsyncInputStream& wake, peer_work_queue& queue);

    void start_exchange(const send_exchange& command);
    void start_probe(const send_probe& command);
    kj::Promise<bool> probe(const address& peer, const address& target);

    /// Hands a received exchange to gossip and waits for its answer.
    kj::Promise<std::string> ask_gossip(gossip_message message);
    void answer(std::uint64_t reply, std::string bytes);

private:
    using reply_map = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<std::string>>>;

    struct connection : public kj::Refcounted
    {
        explicit connection(kj::Own<kj::AsyncIoStream>&& opened)
            : stream(kj::mv(opened)), client(*stream), peer(client.bootstrap().castAs<wire::Peer>())
        {}

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        wire::Peer::Client peer;
    };

    kj::Promise<kj::Own<connection>> connect(const address& peer);
    void keep(const address& peer, kj::Own<connection> open);
    void put(gossip_event event);
    void taskFailed(kj::Exception&& fault) override; // NOLINT(readability-identifier-naming)

    kj::AsyncIoContext& m_io;
    bounded_ring<gossip_event>& m_inbox;
    kj::Duration m_timeout;
    std::size_t m_max_connections;
    control_traffic* m_traffic;
    // Most recently used first.
    std::list<std::pair<address, kj::Own<connection>>> m_connections;
    // Shared with the calls that wait: Cap'n Proto keeps calls of closed connections until the
    // event loop ends, which is after this object.
    std::shared_ptr<reply_map> m_replies = std::make_shared<reply_map>();
    std::uint64_t m_next_reply = 1;
    std::size_t m_open_calls = 0;
    // Read from the wake descriptor and ignored.
    std::uint64_t m_wake_count = 0;
    kj::TaskSet m_tasks;
};

} // namespace chivedeal::membership

#endif
