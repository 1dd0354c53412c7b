#include "chivedeal/forward/endpoint_directory.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace chivedeal::forward {

std::vector<node_event> endpoint_directory::on_record(const endpoint_record& record)
{
    m_pending_removals.erase(record.id);
    const auto known = m_records.find(record.id);
    // An equal record of a cold endpoint may mean that it became cold again.
    const bool is_cold =
        record.remaining_warm_up.value_or(absl::ZeroDuration()) > absl::ZeroDuration();
    if (known != m_records.end() && known->second == record && !is_cold)
        return {};
    m_records[record.id] = record;
    return {{node_event::endpoint_changed{std::make_shared<const endpoint_record>(record)}}};
}

std::vector<node_event> endpoint_directory::on_removed(const endpoint_id& id, absl::Time now)
{
    if (m_records.find(id) == m_records.end())
        return {};
    const auto pending =
        m_pending_removals.try_emplace(id, m_last_failure + m_options.removal_delay);
    if (now < pending.first->second)
        return {};
    m_pending_removals.erase(id);
    m_records.erase(id);
    return {{node_event::endpoint_removed{id}}};
}

std::vector<node_event> endpoint_directory::on_list(const std::vector<endpoint_record>& records,
                                                    absl::Time now)
{
    std::vector<node_event> events;
    std::set<endpoint_id> listed;
    for (const endpoint_record& record : records) {
        listed.insert(record.id);
        const bool was_removal_pending = m_pending_removals.count(record.id) > 0;
        std::vector<node_event> changes = on_record(record);
        if (was_removal_pending && changes.empty())
            events.push_back(
                {node_event::endpoint_changed{std::make_shared<const endpoint_record>(record)}});
        for (node_event& event : changes)
            events.push_back(std::move(event));
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, record] : m_records)
        if (listed.count(id) == 0)
            missing.push_back(id);
    for (const endpoint_id& id : missing) {
        for (node_event& event : on_removed(id, now))
            events.push_back(std::move(event));
        if (const auto due = removal_due(id))
            events.push_back({node_event::endpoint_removal_scheduled{id, *due}});
    }
    return events;
}

std::vector<node_event> endpoint_directory::tick(absl::Time now)
{
    std::vector<node_event> events;
    for (auto pending = m_pending_removals.begin(); pending != m_pending_removals.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        m_records.erase(pending->first);
        events.push_back({node_event::endpoint_removed{pending->first}});
        pending = m_pending_removals.erase(pending);
    }
    return events;
}

std::optional<absl::Time> endpoint_directory::removal_due(const endpoint_id& id) const
{
    const auto pending = m_pending_removals.find(id);
    return pending == m_pending_removals.end() ? std::nullopt : std::optional(pending->second);
}

} // namespace chivedeal::forward
