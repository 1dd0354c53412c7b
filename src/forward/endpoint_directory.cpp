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
    if (known != m_records.end() && known->second == record)
        return {};
    m_records[record.id] = record;
    return {{node_event::endpoint_changed{std::make_shared<const endpoint_record>(record)}}};
}

std::vector<node_event> endpoint_directory::on_removed(const endpoint_id& id, absl::Time now)
{
    if (m_records.find(id) == m_records.end())
        return {};
    if (is_store_recovering(now)) {
        m_pending_removals.insert(id);
        return {};
    }
    m_records.erase(id);
    m_pending_removals.erase(id);
    return {{node_event::endpoint_removed{id}}};
}

std::vector<node_event> endpoint_directory::on_list(const std::vector<endpoint_record>& records,
                                                    absl::Time now)
{
    std::vector<node_event> events;
    std::set<endpoint_id> listed;
    for (const endpoint_record& record : records) {
        listed.insert(record.id);
        for (node_event& event : on_record(record))
            events.push_back(std::move(event));
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, record] : m_records)
        if (listed.count(id) == 0)
            missing.push_back(id);
    for (const endpoint_id& id : missing)
        for (node_event& event : on_removed(id, now))
            events.push_back(std::move(event));
    return events;
}

std::vector<node_event> endpoint_directory::tick(absl::Time now)
{
    std::vector<node_event> events;
    for (auto pending = m_pending_removals.begin(); pending != m_pending_removals.end();) {
        if (is_store_recovering(now)) {
            ++pending;
            continue;
        }
        m_records.erase(*pending);
        events.push_back({node_event::endpoint_removed{*pending}});
        pending = m_pending_removals.erase(pending);
    }
    return events;
}

bool endpoint_directory::is_store_recovering(absl::Time now) const
{
    return now - m_last_failure < m_options.removal_delay;
}

} // namespace chivedeal::forward
