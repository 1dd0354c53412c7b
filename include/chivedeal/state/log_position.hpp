#ifndef CHIVEDEAL_STATE_LOG_POSITION_HPP
#define CHIVEDEAL_STATE_LOG_POSITION_HPP

#include "chivedeal/core/mutex.hpp"

#include <cstdint>
#include <mutex>

namespace chivedeal::state {

/// Tells a log reader where to resume after its state keeper restarted or got records elsewhere.
class log_position
{
public:
    struct value
    {
        /// Incremented by each `move_to`; a change tells the reader to move to `next`.
        std::uint64_t generation = 0;
        std::uint64_t next = 1;

        friend bool operator==(const value&, const value&) = default;
    };

    void move_to(std::uint64_t next)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_value = {.generation = m_value.generation + 1, .next = next};
    }

    value load() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_value;
    }

private:
    mutable mutex m_mutex;
    value m_value;
};

} // namespace chivedeal::state

#endif
