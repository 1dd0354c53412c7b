#ifndef CHIVEDEAL_STATE_APPEND_QUEUE_HPP
#define CHIVEDEAL_STATE_APPEND_QUEUE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/record_sink.hpp"

#include <cstddef>
#include <utility>

namespace chivedeal::state {

/// Queue of records for the log appender. Outlives the appender, which a supervisor may restart.
class append_queue : public record_sink
{
public:
    explicit append_queue(std::size_t capacity = 4096) : m_ring(capacity) {}

    status append(record entry) override
    {
        if (m_ring.try_push(std::move(entry)))
            return ok_status();
        if (m_ring.closed())
            return error{.code = result_code::stopping, .message = "the node is stopping"};
        return error{.code = result_code::ring_full,
                     .message = "too many records wait for the log; try again"};
    }

    bounded_ring<record>& ring() { return m_ring; }

private:
    bounded_ring<record> m_ring;
};

} // namespace chivedeal::state

#endif
