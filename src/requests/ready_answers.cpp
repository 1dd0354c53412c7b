#include "chivedeal/requests/ready_answers.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::requests {

void ready_answers::add(std::uint64_t connection)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_connections.push_back(connection);
    }
    m_wake.raise();
}

std::vector<std::uint64_t> ready_answers::take()
{
    m_wake.clear();
    const std::lock_guard<mutex> lock(m_mutex);
    return std::exchange(m_connections, {});
}

} // namespace chivedeal::requests
