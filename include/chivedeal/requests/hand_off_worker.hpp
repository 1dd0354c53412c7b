#ifndef CHIVEDEAL_REQUESTS_HAND_OFF_WORKER_HPP
#define CHIVEDEAL_REQUESTS_HAND_OFF_WORKER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/flow_command.hpp"
#include "chivedeal/requests/router_message.hpp"

#include <string>

namespace chivedeal::membership {
class peer_client;
}

namespace chivedeal::requests {

/// Thread that hands the streams of a draining node off to peers.
class hand_off_worker : public duty
{
public:
    struct options
    {
        membership::peer_client& peers;
        bounded_ring<hand_off_stream>& streams;
        bounded_ring<router_message>& router_inbox;
    };

    explicit hand_off_worker(options settings);

    std::string name() const override { return "hand_off_worker"; }
    void run() override;
    void request_stop() override;

private:
    options m_options;
};

} // namespace chivedeal::requests

#endif
