#include "peer_loop.hpp"

#include "chivedeal/membership/gossip_command.hpp"
#include "chivedeal/membership/peer_codec.hpp"

#include "counting_stream.hpp"

#include "absl/time/time.h"

#include <algorithm>

namespace chivedeal::membership {

namespace {

// Far above what gossip starts within one timeout; bounds the memory when every peer is frozen.
constexpr std::size_t max_open_calls = 512;

kj::Exception make_fault(kj::Exception::Type type, const char* text)
{
    return {type, __FILE__, __LINE__, kj::str(text)};
}

std::string to_std(capnp::Data::Reader bytes) { return {bytes.asChars().begin(), bytes.size()}; }

capnp::Data::Reader to_data(const std::string& bytes)
{
    return kj::arrayPtr(bytes.data(), bytes.size()).asBytes();
}

} // namespace

peer_loop::peer_loop(kj::AsyncIoContext& io, const peer_server::options& wiring)
    : m_io(io),
      m_inbox(wiring.inbox),
      m_timeout(absl::ToInt64Nanoseconds(wiring.timeout) * kj::NANOSECONDS),
      m_max_connections(wiring.max_connections),
      m_traffic(wiring.traffic),
      m_tasks(*this)
{}

kj::Promise<kj::Own<peer_loop::connection>> peer_loop::connect(const address& peer)
{
    const auto known =
        std::ranges::find_if(m_connections, [&](const auto& item) { return item.first == peer; });
    if (known != m_connections.end()) {
        m_connections.splice(m_connections.begin(), m_connections, known);
        return kj::addRef(*known->second);
    }
    return m_io.provider->getNetwork()
        .parseAddress(kj::StringPtr(peer.host.c_str()), peer.port)
        .then([](kj::Own<kj::NetworkAddress>&& target) {
            auto stream = target->connect();
            return stream.attach(kj::mv(target));
        })
        .then(
            [this, peer](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<kj::Own<connection>> {
                auto open = kj::refcounted<connection>(count_stream(kj::mv(stream), m_traffic));
                keep(peer, kj::addRef(*open));
                return open;
            },
            [](kj::Exception&& fault) -> kj::Promise<kj::Own<connection>> {
                return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                                     kj::str(fault.getDescription()));
            });
}

void peer_loop::keep(const address& peer, kj::Own<connection> open)
{
    m_connections.remove_if([&](const auto& item) { return item.first == peer; });
    m_connections.emplace_front(peer, kj::mv(open));
    if (m_connections.size() > m_max_connections)
        m_connections.pop_back();
}

kj::Promise<void> peer_loop::serve(kj::AsyncInputStream& wake, peer_work_queue& queue)
{
    return wake.tryRead(&m_wake_count, sizeof m_wake_count, sizeof m_wake_count)
        .then([this, &wake, &queue](std::size_t) -> kj::Promise<void> {
            while (const auto item = queue.next())
                (*item)(*this);
            if (queue.closed())
                return kj::READY_NOW;
            return serve(wake, queue);
        });
}

void peer_loop::start_exchange(const send_exchange& command)
{
    const address peer = command.peer;
    if (m_open_calls >= max_open_calls) {
        put(exchange_failed{peer});
        return;
    }
    ++m_open_calls;
    auto work =
        call<std::string>(peer,
                          [bytes = encode_gossip(command.message)](wire::Peer::Client client) {
                              auto request = client.exchangeRequest();
                              request.setGossip(to_data(bytes));
                              return request.send().then(
                                  [](capnp::Response<wire::Peer::ExchangeResults>&& answer) {
                                      return to_std(answer.getGossip());
                                  });
                          })
            .then(
                [this, peer](const std::string& bytes) {
                    auto decoded = decode_gossip(bytes);
                    if (is_ok(decoded))
                        put(exchange_answered{take_value(std::move(decoded))});
                    else
                        put(exchange_failed{peer});
                },
                [this, peer](kj::Exception&&) { put(exchange_failed{peer}); })
            .attach(kj::defer([this] { --m_open_calls; }));
    m_tasks.add(kj::mv(work));
}

void peer_loop::start_probe(const send_probe& command)
{
    const node_id target = command.target;
    const address asked =
        command.via == command.target_address ? address{} : command.target_address;
    m_tasks.add(probe(command.via, asked).then([this, target](bool reached) {
        put(probe_finished{target, reached});
    }));
}

kj::Promise<bool> peer_loop::probe(const address& peer, const address& target)
{
    return call<bool>(peer,
                      [target](wire::Peer::Client client) {
                          auto request = client.probeRequest();
                          request.setHost(target.host);
                          request.setPort(target.port);
                          return request.send().then(
                              [](capnp::Response<wire::Peer::ProbeResults>&& answer) {
                                  return answer.getReached();
                              });
                      })
        .catch_([](kj::Exception&&) { return false; });
}

kj::Promise<std::string> peer_loop::ask_gossip(gossip_message message)
{
    const std::uint64_t reply = m_next_reply++;
    if (!m_inbox.try_push(exchange_received{std::move(message), reply}))
        return make_fault(kj::Exception::Type::OVERLOADED, "the gossip inbox is full");
    auto waiting = kj::newPromiseAndFulfiller<std::string>();
    (*m_replies)[reply] = kj::mv(waiting.fulfiller);
    // The caller may hang up or gossip may be stopped; either way the entry goes.
    return m_io.provider->getTimer()
        .timeoutAfter(m_timeout, kj::mv(waiting.promise))
        .attach(kj::defer([replies = m_replies, reply] { replies->erase(reply); }));
}

void peer_loop::answer(std::uint64_t reply, std::string bytes)
{
    const auto found = m_replies->find(reply);
    if (found != m_replies->end())
        found->second->fulfill(std::move(bytes));
}

// A full inbox loses the result of an exchange, which the next round makes up for.
void peer_loop::put(gossip_event event) { (void)m_inbox.try_push(std::move(event)); }

void peer_loop::taskFailed(kj::Exception&& /*fault*/) {}

} // namespace chivedeal::membership
