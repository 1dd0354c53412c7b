#ifndef CHIVEDEAL_STATE_RECORD_SINK_HPP
#define CHIVEDEAL_STATE_RECORD_SINK_HPP

#include "chivedeal/core/result.hpp"

namespace chivedeal::state {

struct record;

/// Accepts records for the log. Whether an accepted record takes effect is known only after it has
/// been read back (`state_listener::on_applied`).
class record_sink
{
public:
    virtual ~record_sink() = default;

    /// Never blocks. Returns `ring_full` or `stopping` if the record was not accepted.
    virtual status append(record entry) = 0;
};

} // namespace chivedeal::state

#endif
