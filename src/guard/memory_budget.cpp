#include "chivedeal/guard/memory_budget.hpp"

namespace chivedeal::guard {

void memory_budget::set(std::uint64_t connection, std::size_t bytes)
{
    const std::size_t rounded_bytes =
        (bytes + granularity_bytes - 1) / granularity_bytes * granularity_bytes;
    const auto [entry, is_new] = m_held.try_emplace(connection, 0);
    if (!is_new && entry->second == rounded_bytes)
        return;
    if (!is_new)
        m_by_size.erase({entry->second, connection});
    m_total_bytes = m_total_bytes - entry->second + rounded_bytes;
    entry->second = rounded_bytes;
    m_by_size.emplace(rounded_bytes, connection);
}

void memory_budget::remove(std::uint64_t connection)
{
    const auto entry = m_held.find(connection);
    if (entry == m_held.end())
        return;
    m_total_bytes -= entry->second;
    m_by_size.erase({entry->second, connection});
    m_held.erase(entry);
}

std::size_t memory_budget::held(std::uint64_t connection) const
{
    const auto entry = m_held.find(connection);
    return entry == m_held.end() ? 0 : entry->second;
}

std::optional<std::uint64_t> memory_budget::heaviest() const
{
    if (m_by_size.empty())
        return std::nullopt;
    return m_by_size.rbegin()->second;
}

} // namespace chivedeal::guard
