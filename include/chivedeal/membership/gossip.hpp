#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/membership/gossip_command.hpp"
#include "chivedeal/membership/gossip_options.hpp"

#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::membership {

class gossip_inbox;
class gossip_state;
class membership_listener;
class peer_transport;

/// Thread that moves events between the inbox, the gossip decisions and the RPC thread.
class gossip : public duty
{
public:
    struct options
    {
        /// The incarnation is raised to the calendar time in milliseconds when `run` starts.
        gossip_options decisions;
        const clock& time;
        gossip_inbox& inbox;
        peer_transport& transport;
        std::vector<membership_listener*> listeners;
    };

    explicit gossip(options wiring);

    std::string name() const override { return "gossip"; }
    void run() override;
    void request_stop() override;

private:
    void execute(const std::vector<gossip_command>& commands);

    options m_options;
};

} // namespace chivedeal::membership

#endif
