#ifndef CHIVEDEAL_REQUESTS_ROUTER_MESSAGE_HPP
#define CHIVEDEAL_REQUESTS_ROUTER_MESSAGE_HPP

#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/flow_event.hpp"

#include <memory>

namespace chivedeal {
template<class T>
class bounded_ring;
}

namespace chivedeal::requests {

/// Message to the router: an event, and for an arrival or a resumption the caller's reply ring.
struct router_message
{
    flow_event event;
    std::shared_ptr<bounded_ring<answer_event>> reply;
};

} // namespace chivedeal::requests

#endif
