#ifndef CHIVEDEAL_REQUESTS_ROUTER_PORT_HPP
#define CHIVEDEAL_REQUESTS_ROUTER_PORT_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/result.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/requests/router_message.hpp"
#include "chivedeal/state/state_listener.hpp"

#include <memory>
#include <vector>

namespace chivedeal::membership {
struct stream_state;
}

namespace chivedeal::requests {

/// Pushes the updates of other subtrees to the router's ring. A full ring blocks the publisher,
/// since a lost claim record would leave its request without an outcome.
class router_port : public state::state_listener, public membership::membership_listener
{
public:
    explicit router_port(bounded_ring<router_message>& inbox);

    /// Forwards only records of the claims stream.
    void on_applied(const state::applied_record& applied) override;
    void on_state(std::shared_ptr<const state::cluster_state> state) override;
    void on_claims_restored(const std::vector<state::claim_entry>& claims) override;
    void on_view(std::shared_ptr<const membership::membership_view> view) override;

    /// Accepts a stream from a peer without blocking. Fails with `ring_full` when the node is
    /// overloaded.
    status take_over(membership::stream_state stream);

    /// Starts the node's graceful shutdown.
    void request_drain();

private:
    bounded_ring<router_message>& m_inbox;
};

} // namespace chivedeal::requests

#endif
