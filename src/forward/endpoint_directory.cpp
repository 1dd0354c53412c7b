#include "chivedeal/forward/endpoint_directory.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace chivedeal::forward {

std::vector<node_event> endpoint_directory::on_record(const endpoint_record& record)
{
    m_removed.erase(record.id);
    const auto known = m_known.find(record.id);
    if (known != m_known.end() && known->second == record)
        return {};
    m_known[record.id] = record;
    return {{node_event::endpoint_changed{std::make_shared<const endpoint_record>(record)}}};
}

std::vector<node_event> endpoint_directory::on_removed(const endpoint_id& id, absl::Time now)
{
    if (m_known.find(id) == m_known.end())
        return {};
    if (after_outage(now)) {
        m_removed.insert(id);
        return {};
    }
    m_known.erase(id);
    m_removed.erase(id);
    return {{node_event::endpoint_removed{id}}};
}

std::vector<node_event> endpoint_directory::on_list(const std::vector<endpoint_record>& records,
                                                    absl::Time now)
{
    std::vector<node_event> events;
    std::set<endpoint_id> listed;
    for (const endpoint_record& one : records) {
        listed.insert(one.id);
        for (node_event& event : on_record(one))
            events.push_back(std::move(event));
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, one] : m_known)
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
    for (auto one = m_removed.begin(); one != m_removed.end();) {
        if (after_outage(now)) {
            ++one;
            continue;
        }
        m_known.erase(*one);
        events.push_back({node_event::endpoint_removed{*one}});
        one = m_removed.erase(one);
    }
    return events;
}

bool endpoint_directory::after_outage(absl::Time now) const
{
    return now - m_last_failure < m_options.return_time;
}

} // namespace chivedeal::forward
