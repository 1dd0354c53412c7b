#ifndef CHIVEDEAL_MEMBERSHIP_PEER_SERVER_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_SERVER_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/membership/gossip_event.hpp"
#include "chivedeal/membership/incoming_connections.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <string>

namespace chivedeal {
class control_traffic;
}

namespace chivedeal::membership {

class peer_handler;
class peer_link;

/// Thread of the Cap'n Proto event loop: serves the calls of peers and makes this node's calls.
/// `run` throws when the address can't be bound.
class peer_server : public duty
{
public:
    struct options
    {
        address listen;
        peer_link& link;
        peer_handler& handler;
        /// Exchanges and results of exchanges and probes go here.
        bounded_ring<gossip_event>& inbox;
        /// Limit of each call to a peer.
        absl::Duration timeout = absl::Milliseconds(500);
        /// Idle connections beyond this are closed, oldest use first; each takes a few kilobytes.
        std::size_t max_connections = 64;
        /// Limits of the connections that peers open.
        incoming_connections::options incoming = {};
        /// Counts the bytes of all connections; may be null.
        control_traffic* traffic = nullptr;
    };

    explicit peer_server(options wiring);

    std::string name() const override { return "peer_server"; }
    void run() override;
    void request_stop() override;

private:
    options m_options;
};

} // namespace chivedeal::membership

#endif
