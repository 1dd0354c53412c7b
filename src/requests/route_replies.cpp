#include "chivedeal/requests/route_replies.hpp"

#include "chivedeal/requests/ready_answers.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::requests {

route_replies::route_replies(std::shared_ptr<ready_answers> ready) : m_ready(std::move(ready)) {}

void route_replies::add(std::uint64_t connection, route_reply reply)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_replies.insert_or_assign(connection, std::move(reply));
    }
    m_ready->add(connection);
}

std::optional<route_reply> route_replies::take(std::uint64_t connection)
{
    const std::lock_guard<mutex> lock(m_mutex);
    auto node = m_replies.extract(connection);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

} // namespace chivedeal::requests
