#ifndef CHIVEDEAL_MEMBERSHIP_RPC_PEER_CLIENT_HPP
#define CHIVEDEAL_MEMBERSHIP_RPC_PEER_CLIENT_HPP

#include "chivedeal/membership/peer_client.hpp"
#include "chivedeal/membership/peer_transport.hpp"

namespace chivedeal::membership {

class peer_link;

/// Submits calls to the event loop of `peer_server`; without one every call is
/// `peer_unreachable`. Safe from any thread but the RPC thread itself.
class rpc_peer_client : public peer_client, public peer_transport
{
public:
    explicit rpc_peer_client(peer_link& link) : m_link(link) {}

    result<std::vector<state::log_entry>> records_from(const address& peer,
                                                       std::uint64_t offset) override;
    result<std::string> snapshot(const address& peer) override;
    status hand_off(const address& peer, const stream_state& stream) override;

    void exchange(const send_exchange& command) override;
    void answer(const answer_exchange& command) override;
    void probe(const send_probe& command) override;

private:
    peer_link& m_link;
};

} // namespace chivedeal::membership

#endif
