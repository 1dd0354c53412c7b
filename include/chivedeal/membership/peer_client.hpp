#ifndef CHIVEDEAL_MEMBERSHIP_PEER_CLIENT_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_CLIENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {
struct log_entry;
}

namespace chivedeal::membership {

struct stream_state;

/// Calls to a peer's RPC address. Calls block for at most the client's timeout and may be made
/// from any thread; errors are `peer_unreachable`, `peer_refused` and `timeout`.
class peer_client
{
public:
    virtual ~peer_client() = default;

    /// Records of the control stream from `offset` that the peer still holds.
    virtual result<std::vector<state::log_entry>> records_from(const address& peer,
                                                               std::uint64_t offset) = 0;

    /// The peer's newest state, encoded as the data of a snapshot.
    virtual result<std::string> snapshot(const address& peer) = 0;

    /// Gives a stream to the peer, which owns it once this returns ok.
    virtual status hand_off(const address& peer, const stream_state& stream) = 0;
};

} // namespace chivedeal::membership

#endif
