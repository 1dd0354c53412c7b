#ifndef CHIVEDEAL_STATE_APPEND_LISTENER_HPP
#define CHIVEDEAL_STATE_APPEND_LISTENER_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::state {

/// Told when the log has answered that it took a record, which says nothing about the effect.
class append_listener
{
public:
    virtual ~append_listener() = default;

    /// Runs in the appender's thread.
    virtual void on_appended(const change_id& change) = 0;
};

} // namespace chivedeal::state

#endif
