#ifndef CHIVEDEAL_CORE_SHARED_CELL_HPP
#define CHIVEDEAL_CORE_SHARED_CELL_HPP

#include "chivedeal/core/mutex.hpp"

#include <memory>
#include <mutex>
#include <utility>

namespace chivedeal {

/// Publishes an immutable value from one thread to many readers.
///
///     shared_cell<cluster_state> cell(std::make_shared<const cluster_state>());
///     cell.store(next);
///     auto state = cell.load();
template<class T>
class shared_cell
{
public:
    explicit shared_cell(std::shared_ptr<const T> value) : m_value(std::move(value)) {}

    std::shared_ptr<const T> load() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_value;
    }

    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_value.swap(value);
    }

private:
    mutable mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

} // namespace chivedeal

#endif
