#ifndef FAKES_FAKE_PEER_CLIENT_HPP
#define FAKES_FAKE_PEER_CLIENT_HPP

#include "chivedeal/membership/peer_client.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "chivedeal/state/published_state.hpp"

namespace chivedeal::fakes {

/// Serves requests to any address from the published state of one peer.
class fake_peer_client : public membership::peer_client
{
public:
    explicit fake_peer_client(const state::published_state& peer) : m_peer(peer) {}

    result<std::vector<state::log_entry>> records_from(const address& /*peer*/,
                                                       std::uint64_t offset) override
    {
        return m_peer.records_from(offset);
    }

    result<std::string> snapshot(const address& /*peer*/) override { return m_peer.snapshot(); }

    status hand_off(const address& /*peer*/, const membership::stream_state& /*stream*/) override
    {
        return error{.code = result_code::peer_refused,
                     .message = "fake_peer_client does not accept streams"};
    }

private:
    const state::published_state& m_peer;
};

} // namespace chivedeal::fakes

#endif
