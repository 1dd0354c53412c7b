#ifndef CHIVEDEAL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP
#define CHIVEDEAL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP

#include <memory>

namespace chivedeal::membership {

struct membership_view;

/// Receives each new view. Runs in the publisher's thread: an implementation only puts an event
/// on a ring.
class membership_listener
{
public:
    virtual ~membership_listener() = default;

    virtual void on_view(std::shared_ptr<const membership_view> view) = 0;
};

} // namespace chivedeal::membership

#endif
