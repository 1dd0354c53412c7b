#ifndef CHIVEDEAL_STATE_APPEND_LISTENER_HPP
#define CHIVEDEAL_STATE_APPEND_LISTENER_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::state {

/// Notified when the log acknowledges a record. The record may still have no effect.
class append_listener
{
public:
    virtual ~append_listener() = default;

    /// Called in the appender's thread.
    virtual void on_appended(const change_id& change) = 0;
};

} // namespace chivedeal::state

#endif
