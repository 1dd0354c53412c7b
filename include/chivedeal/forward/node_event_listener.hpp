#ifndef CHIVEDEAL_FORWARD_NODE_EVENT_LISTENER_HPP
#define CHIVEDEAL_FORWARD_NODE_EVENT_LISTENER_HPP

namespace chivedeal::forward {

struct node_event;

/// Receives events of another duty. Implementations queue the event and return.
class node_event_listener
{
public:
    virtual ~node_event_listener() = default;

    virtual void on_event(node_event event) = 0;
};

} // namespace chivedeal::forward

#endif
