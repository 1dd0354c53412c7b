#include "chivedeal/requests/hand_off_worker.hpp"

#include "chivedeal/membership/peer_client.hpp"

namespace chivedeal::requests {

hand_off_worker::hand_off_worker(options wiring) : m_options(wiring) {}

void hand_off_worker::run()
{
    while (const auto order = m_options.streams.pop()) {
        const bool taken = is_ok(m_options.peers.hand_off(order->peer, order->stream));
        (void)m_options.router_inbox.push(
            {.event = hand_off_answered{.request = order->stream.request,
                                        .peer = order->peer_http,
                                        .taken = taken},
             .reply = nullptr});
    }
}

void hand_off_worker::request_stop() { m_options.streams.close(); }

} // namespace chivedeal::requests
