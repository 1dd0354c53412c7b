#include "chivedeal/membership/rpc_peer_client.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/gossip_command.hpp"
#include "chivedeal/membership/peer_codec.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "peer_link_impl.hpp"
#include "peer_loop.hpp"

#include "absl/strings/str_cat.h"

#include <memory>
#include <utility>

namespace chivedeal::membership {

namespace {

error to_error(const kj::Exception& fault, const address& peer)
{
    result_code code = result_code::peer_refused;
    if (fault.getType() == kj::Exception::Type::OVERLOADED)
        code = result_code::timeout;
    else if (fault.getType() == kj::Exception::Type::DISCONNECTED)
        code = result_code::peer_unreachable;
    return {.code = code,
            .message = absl::StrCat("peer ", to_string(peer), ": ", fault.getDescription().cStr())};
}

error refused(const std::string& why)
{
    return {.code = result_code::peer_refused, .message = why};
}

std::string text_of(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

// Where the RPC thread puts the answer to a call. Without one, the waiting thread is told so as
// soon as the last reference to the slot goes: when the work is dropped or the event loop ends.
template<class Answer>
class reply_slot
{
public:
    explicit reply_slot(std::shared_ptr<bounded_ring<Answer>> ring) : m_ring(std::move(ring)) {}
    ~reply_slot() { m_ring->close(); }
    reply_slot(const reply_slot&) = delete;
    reply_slot& operator=(const reply_slot&) = delete;

    void put(Answer answer) { (void)m_ring->try_push(std::move(answer)); }

private:
    std::shared_ptr<bounded_ring<Answer>> m_ring;
};

// Calls the peer from the RPC thread and waits. `method` is copied, since it may outlive the wait.
template<class Answer, class Method>
Answer call(peer_link& link, const address& peer, const Method& method)
{
    const auto ring = std::make_shared<bounded_ring<Answer>>(1);
    auto slot = std::make_shared<reply_slot<Answer>>(ring);
    const bool taken = link.get().post([peer, method, slot = std::move(slot)](peer_loop& loop) {
        // kj::Function refers to an lvalue and does not copy it.
        loop.start_call<Answer>(
            peer, Method(method), [slot](Answer&& answer) { slot->put(std::move(answer)); },
            [slot, peer](kj::Exception&& fault) { slot->put(to_error(fault, peer)); });
    });
    if (taken)
        if (auto answer = ring->pop())
            return *std::move(answer);
    return error{.code = result_code::peer_unreachable,
                 .message = absl::StrCat("peer ", to_string(peer), ": no RPC thread runs")};
}

} // namespace

result<std::vector<state::log_entry>> rpc_peer_client::records_from(const address& peer,
                                                                    std::uint64_t offset)
{
    using answer_type = result<std::vector<state::log_entry>>;
    if (!is_enabled(mechanism::peer_records))
        return refused("fetching records from peers is switched off");
    return call<answer_type>(m_link, peer, [offset](wire::Peer::Client client) {
        auto request = client.recordsFromRequest();
        request.setOffset(offset);
        return request.send().then(
            [](capnp::Response<wire::Peer::RecordsFromResults>&& answer) -> answer_type {
                if (answer.hasRefusal())
                    return refused(text_of(answer.getRefusal()));
                std::vector<state::log_entry> out;
                for (const auto record : answer.getRecords())
                    out.push_back(
                        {.offset = record.getOffset(), .data = text_of(record.getData())});
                return out;
            });
    });
}

result<std::string> rpc_peer_client::snapshot(const address& peer)
{
    return call<result<std::string>>(m_link, peer, [](wire::Peer::Client client) {
        return client.snapshotRequest().send().then(
            [](capnp::Response<wire::Peer::SnapshotResults>&& answer) -> result<std::string> {
                if (answer.hasRefusal())
                    return refused(text_of(answer.getRefusal()));
                const auto data = answer.getData().asChars();
                return std::string(data.begin(), data.size());
            });
    });
}

status rpc_peer_client::hand_off(const address& peer, const stream_state& stream)
{
    return call<status>(m_link, peer, [bytes = encode_stream(stream)](wire::Peer::Client client) {
        auto request = client.handOffRequest();
        request.setStream(kj::arrayPtr(bytes.data(), bytes.size()).asBytes());
        return request.send().then(
            [](capnp::Response<wire::Peer::HandOffResults>&& answer) -> status {
                if (answer.hasRefusal())
                    return refused(text_of(answer.getRefusal()));
                return ok_status();
            });
    });
}

// The next three lose their work while the RPC thread is restarted or overloaded: gossip's next
// tick makes up for it.

void rpc_peer_client::exchange(const send_exchange& command)
{
    (void)m_link.get().post([command](peer_loop& loop) { loop.start_exchange(command); });
}

void rpc_peer_client::answer(const answer_exchange& command)
{
    (void)m_link.get().post([reply = command.reply, bytes = encode_gossip(command.message)](
                                peer_loop& loop) { loop.answer(reply, bytes); });
}

void rpc_peer_client::probe(const send_probe& command)
{
    (void)m_link.get().post([command](peer_loop& loop) { loop.start_probe(command); });
}

} // namespace chivedeal::membership
