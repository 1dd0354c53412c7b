#ifndef CHIVEDEAL_MEMBERSHIP_PEER_TRANSPORT_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_TRANSPORT_HPP

#include <cstdint>

namespace chivedeal::membership {

struct answer_exchange;
struct send_exchange;
struct send_probe;

/// Carries out what gossip decides. Calls only start the work; results come back as events on the
/// gossip inbox.
class peer_transport
{
public:
    virtual ~peer_transport() = default;

    virtual void exchange(const send_exchange& command) = 0;
    virtual void answer(const answer_exchange& command) = 0;
    virtual void probe(const send_probe& command) = 0;
};

} // namespace chivedeal::membership

#endif
