#ifndef FAKES_RPC_NODE_HPP
#define FAKES_RPC_NODE_HPP

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/membership/peer_link.hpp"
#include "chivedeal/membership/peer_server.hpp"
#include "chivedeal/membership/rpc_peer_client.hpp"
#include "fakes/fake_peer_handler.hpp"
#include "fakes/loopback_socket.hpp"

#include "absl/time/clock.h"

#include <utility>

namespace chivedeal::fakes {

/// The RPC part of a node on a free loopback port.
class rpc_node
{
public:
    explicit rpc_node(absl::Duration timeout, address at = loopback_socket::unused_address())
        : where(std::move(at)),
          server({.listen = where,
                  .link = link,
                  .handler = handler,
                  .inbox = inbox,
                  .timeout = timeout}),
          m_thread("rpc", [this] { server.run(); })
    {
        while (!is_ok(client.snapshot(where)))
            absl::SleepFor(absl::Milliseconds(1));
    }

    ~rpc_node() { server.request_stop(); }

    address where;
    bounded_ring<membership::gossip_event> inbox{64};
    membership::peer_link link;
    fake_peer_handler handler;
    membership::peer_server server;
    membership::rpc_peer_client client{link};

private:
    posix_thread m_thread;
};

} // namespace chivedeal::fakes

#endif
