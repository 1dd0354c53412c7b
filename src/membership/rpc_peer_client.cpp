#include "chivedeal/membership/rpc_peer_client.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/gossip_command.hpp"
#include "chivedeal/membership/peer_codec.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "peer_link_impl.hpp"
#include "peer_loop.hpp"

#include "absl/strings/str_cat.h"

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

} // namespace

result<std::vector<state::log_entry>> rpc_peer_client::records_from(const address& peer,
                                                                    std::uint64_t offset)
{
    using answer_type = result<std::vector<state::log_entry>>;
    if (!is_enabled(mechanism::peer_records))
        return refused("fetching records from peers is switched off");
    const auto method = [offset](wire::Peer::Client client) {
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
    };
    try {
        return m_link.get().run(
            [&](peer_loop& loop) { return loop.call<answer_type>(peer, method); });
    }
    catch (const kj::Exception& fault) {
        return to_error(fault, peer);
    }
}

result<std::string> rpc_peer_client::snapshot(const address& peer)
{
    const auto method = [](wire::Peer::Client client) {
        return client.snapshotRequest().send().then(
            [](capnp::Response<wire::Peer::SnapshotResults>&& answer) -> result<std::string> {
                if (answer.hasRefusal())
                    return refused(text_of(answer.getRefusal()));
                const auto data = answer.getData().asChars();
                return std::string(data.begin(), data.size());
            });
    };
    try {
        return m_link.get().run(
            [&](peer_loop& loop) { return loop.call<result<std::string>>(peer, method); });
    }
    catch (const kj::Exception& fault) {
        return to_error(fault, peer);
    }
}

status rpc_peer_client::hand_off(const address& peer, const stream_state& stream)
{
    const std::string bytes = encode_stream(stream);
    const auto method = [&bytes](wire::Peer::Client client) {
        auto request = client.handOffRequest();
        request.setStream(kj::arrayPtr(bytes.data(), bytes.size()).asBytes());
        return request.send().then(
            [](capnp::Response<wire::Peer::HandOffResults>&& answer) -> status {
                if (answer.hasRefusal())
                    return refused(text_of(answer.getRefusal()));
                return ok_status();
            });
    };
    try {
        return m_link.get().run([&](peer_loop& loop) { return loop.call<status>(peer, method); });
    }
    catch (const kj::Exception& fault) {
        return to_error(fault, peer);
    }
}

void rpc_peer_client::exchange(const send_exchange& command)
{
    try {
        m_link.get().run([&](peer_loop& loop) { loop.start_exchange(command); });
    }
    catch (const kj::Exception&) {
        // The RPC thread is being restarted; the next tick tries again.
    }
}

void rpc_peer_client::answer(const answer_exchange& command)
{
    try {
        m_link.get().run(
            [&](peer_loop& loop) { loop.answer(command.reply, encode_gossip(command.message)); });
    }
    catch (const kj::Exception&) {
        // The peer's call ended with the RPC thread.
    }
}

void rpc_peer_client::probe(const send_probe& command)
{
    try {
        m_link.get().run([&](peer_loop& loop) { loop.start_probe(command); });
    }
    catch (const kj::Exception&) {
        // A probe without a result leaves the peer's status as it is.
    }
}

} // namespace chivedeal::membership
