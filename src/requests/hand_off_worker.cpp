#include "chivedeal/requests/hand_off_worker.hpp"

#include "chivedeal/membership/peer_client.hpp"

namespace chivedeal::requests {

hand_off_worker::hand_off_worker(options settings) : m_options(settings) {}

void hand_off_worker::run()
{
    while (const auto offer = m_options.streams.pop()) {
        const bool taken = is_ok(m_options.peers.hand_off(offer->peer, offer->stream));
        (void)m_options.router_inbox.push(
            {.event = hand_off_answered{.request = offer->stream.request,
                                        .peer = offer->peer_http,
                                        .accepted = taken},
             .reply = nullptr});
    }
}

void hand_off_worker::request_stop() { m_options.streams.close(); }

} // namespace chivedeal::requests
