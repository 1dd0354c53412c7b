#include "chivedeal/membership/incoming_connections.hpp"

namespace chivedeal::membership {

std::optional<std::uint64_t> incoming_connections::on_accepted(std::uint64_t connection)
{
    std::optional<std::uint64_t> closed;
    if (m_last_active.size() >= m_options.max_connections && !m_by_activity.empty()) {
        closed = m_by_activity.begin()->second;
        on_closed(*closed);
    }
    m_last_active.emplace(connection, 0);
    touch(connection);
    return closed;
}

std::optional<std::uint64_t> incoming_connections::on_read(std::uint64_t connection,
                                                           std::size_t bytes)
{
    if (!m_last_active.contains(connection))
        return std::nullopt;
    touch(connection);
    m_unanswered.set(connection, m_unanswered.held(connection) + bytes);
    if (!m_unanswered.is_exceeded())
        return std::nullopt;
    const auto heaviest = m_unanswered.heaviest();
    on_closed(*heaviest);
    return heaviest;
}

void incoming_connections::on_write(std::uint64_t connection)
{
    if (m_last_active.contains(connection))
        m_unanswered.remove(connection);
}

void incoming_connections::on_closed(std::uint64_t connection)
{
    const auto found = m_last_active.find(connection);
    if (found == m_last_active.end())
        return;
    m_by_activity.erase(found->second);
    m_last_active.erase(found);
    m_unanswered.remove(connection);
}

void incoming_connections::touch(std::uint64_t connection)
{
    std::uint64_t& last_active = m_last_active.at(connection);
    m_by_activity.erase(last_active);
    last_active = ++m_activity;
    m_by_activity.emplace(last_active, connection);
}

} // namespace chivedeal::membership
