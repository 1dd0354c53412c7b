#include "chivedeal/membership/peer_server.hpp"

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/peer_codec.hpp"
#include "chivedeal/membership/peer_handler.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "limited_receiver.hpp"
#include "peer_link_impl.hpp"
#include "peer_loop.hpp"

#include <memory>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace chivedeal::membership {

namespace {

// Bounds one answer, so that other calls on the thread do not wait long; the peer asks again.
constexpr std::size_t max_records_bytes = 1024 * 1024;

std::string_view to_view(capnp::Data::Reader bytes)
{
    return {bytes.asChars().begin(), bytes.size()};
}

capnp::Data::Reader to_data(const std::string& bytes)
{
    return kj::arrayPtr(bytes.data(), bytes.size()).asBytes();
}

kj::Exception refuse(const std::string& why)
{
    return {kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(why.c_str())};
}

// libkj fills its tables of address ranges at their first use, which the thread sanitizer can't see
// as ordered, since libkj is built without it. The lock orders the first use before all others.
kj::AsyncIoContext set_up_io()
{
    static mutex first_use;
    const std::lock_guard<mutex> lock(first_use);
    return kj::setupAsyncIo();
}

class peer_service final : public wire::Peer::Server
{
public:
    peer_service(peer_loop& loop, peer_handler& handler) : m_loop(loop), m_handler(handler) {}

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        auto message = decode_gossip(to_view(context.getParams().getGossip()));
        if (!is_ok(message))
            return refuse(get_error(message).message);
        return m_loop.ask_gossip(take_value(std::move(message)))
            .then([context](const std::string& bytes) mutable {
                context.getResults().setGossip(to_data(bytes));
            });
    }

    kj::Promise<void> probe(ProbeContext context) override
    {
        const auto params = context.getParams();
        if (params.getHost().size() == 0) {
            context.getResults().setReached(true);
            return kj::READY_NOW;
        }
        const address target{.host = params.getHost().cStr(), .port = params.getPort()};
        return m_loop.probe(target, {}).then([context](bool reached) mutable {
            context.getResults().setReached(reached);
        });
    }

    kj::Promise<void> recordsFrom(RecordsFromContext context) override
    {
        const auto records = m_handler.records_from(context.getParams().getOffset());
        if (!is_ok(records)) {
            context.getResults().setRefusal(to_string(get_error(records)));
            return kj::READY_NOW;
        }
        const auto& all = get_value(records);
        std::size_t count = 0;
        for (std::size_t bytes = 0; count < all.size() && bytes < max_records_bytes; ++count)
            bytes += all[count].data.size();
        auto out = context.getResults().initRecords(static_cast<unsigned>(count));
        for (unsigned i = 0; i < count; ++i) {
            out[i].setOffset(all[i].offset);
            out[i].setData(all[i].data);
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> snapshot(SnapshotContext context) override
    {
        const auto data = m_handler.snapshot();
        if (is_ok(data))
            context.getResults().setData(to_data(get_value(data)));
        else
            context.getResults().setRefusal(to_string(get_error(data)));
        return kj::READY_NOW;
    }

    kj::Promise<void> handOff(HandOffContext context) override
    {
        auto stream = decode_stream(to_view(context.getParams().getStream()));
        if (!is_ok(stream))
            return refuse(get_error(stream).message);
        const status taken = m_handler.hand_off(take_value(std::move(stream)));
        if (!is_ok(taken))
            context.getResults().setRefusal(to_string(get_error(taken)));
        return kj::READY_NOW;
    }

private:
    peer_loop& m_loop;
    peer_handler& m_handler;
};

} // namespace

peer_server::peer_server(options wiring) : m_options(std::move(wiring)) {}

void peer_server::run()
{
    peer_link::impl& link = m_options.link.get();
    const auto detach = kj::defer([&link] { link.detach(); });
    try {
        kj::AsyncIoContext io = set_up_io();
        // Declared before the loop: work that is left when the loop ends is destroyed after it.
        std::shared_ptr<peer_work_queue> queue;
        peer_loop loop(io, m_options);
        auto bound =
            io.provider->getNetwork()
                .parseAddress(kj::StringPtr(m_options.listen.host.c_str()), m_options.listen.port)
                .wait(io.waitScope);
        kj::Own<kj::ConnectionReceiver> listener;
        KJ_IF_MAYBE (fault, kj::runCatchingExceptions([&] { listener = bound->listen(); }))
            throw std::runtime_error(to_string(
                error{.code = result_code::invalid_setting,
                      .message = "cannot listen on " + to_string(m_options.listen) +
                                 "; stop the process that uses the address or change --rpc (" +
                                 fault->getDescription().cStr() + ")"}));
        limited_receiver limited(*listener, m_options.incoming, m_options.traffic);
        capnp::TwoPartyServer server(kj::heap<peer_service>(loop, m_options.handler));
        queue = link.attach();
        if (!queue)
            return;
        auto wake = io.lowLevelProvider->wrapInputFd(
            queue->wake_descriptor(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                                          kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
        server.listen(limited).exclusiveJoin(loop.serve(*wake, *queue)).wait(io.waitScope);
    }
    catch (const kj::Exception& fault) {
        throw std::runtime_error(fault.getDescription().cStr());
    }
}

void peer_server::request_stop() { m_options.link.get().stop(); }

} // namespace chivedeal::membership
