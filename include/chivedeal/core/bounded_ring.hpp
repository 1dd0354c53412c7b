#ifndef CHIVEDEAL_CORE_BOUNDED_RING_HPP
#define CHIVEDEAL_CORE_BOUNDED_RING_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"

#include "absl/time/time.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace chivedeal {

/// A bounded queue between threads; waiting threads sleep.
///
/// After `close` pushes fail and pops drain what is left, then return nothing.
///
///     bounded_ring<int> ring(64);
///     ring.try_push(1);
///     std::optional<int> value = ring.pop(absl::Seconds(1));
template<class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : m_items(capacity) {}

    /// Returns false when the ring is full or closed; the edge then refuses the work.
    [[nodiscard]] bool try_push(T value)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_closed || m_items.full())
            return false;
        m_items.push_back(std::move(value));
        m_not_empty.notify_one();
        return true;
    }

    /// Waits for room. Returns false when closed.
    [[nodiscard]] bool push(T value)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        while (!m_closed && m_items.full())
            m_not_full.wait(m_mutex);
        if (m_closed)
            return false;
        m_items.push_back(std::move(value));
        m_not_empty.notify_one();
        return true;
    }

    /// Waits for an item, at most `timeout`. Returns nothing on timeout or when closed and empty.
    [[nodiscard]] std::optional<T> pop(absl::Duration timeout = absl::InfiniteDuration())
    {
        const std::lock_guard<mutex> lock(m_mutex);
        while (m_items.empty() && !m_closed) {
            if (!m_not_empty.wait_for(m_mutex, timeout) && m_items.empty())
                return std::nullopt;
        }
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> value(std::move(m_items.front()));
        m_items.pop_front();
        m_not_full.notify_one();
        return value;
    }

    void close()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_closed = true;
        m_not_empty.notify_all();
        m_not_full.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_items.size();
    }

private:
    mutable mutex m_mutex;
    condition m_not_empty;
    condition m_not_full;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace chivedeal

#endif
