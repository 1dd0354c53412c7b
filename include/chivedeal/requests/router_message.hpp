#ifndef CHIVEDEAL_REQUESTS_ROUTER_MESSAGE_HPP
#define CHIVEDEAL_REQUESTS_ROUTER_MESSAGE_HPP

#include "chivedeal/requests/flow_event.hpp"

#include <memory>

namespace chivedeal::requests {

class answer_sink;

/// Message to the router: an event, and for an arrival or a resumption what takes the answer.
struct router_message
{
    flow_event event;
    std::shared_ptr<answer_sink> reply;
};

} // namespace chivedeal::requests

#endif
