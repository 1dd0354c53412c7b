#ifndef CHIVEDEAL_STATE_RECORD_SINK_HPP
#define CHIVEDEAL_STATE_RECORD_SINK_HPP

#include "chivedeal/core/result.hpp"

namespace chivedeal::state {

struct record;

/// Takes records for the log. Acceptance says nothing about the effect, which shows only when the
/// record is read back (`state_listener::on_applied`).
class record_sink
{
public:
    virtual ~record_sink() = default;

    /// Does not block. `ring_full` or `stopping` when the record was not taken.
    virtual status append(record entry) = 0;
};

} // namespace chivedeal::state

#endif
