#include "chivedeal/requests/poll_schedule.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <set>

namespace chivedeal::requests {

namespace {

constexpr int silent_after_failures = 3;

} // namespace

poll_schedule::poll_schedule(options pace) : m_options(pace) {}

void poll_schedule::on_view(const membership::membership_view& view, absl::Time now)
{
    std::set<endpoint_id> listed;
    for (const membership::endpoint& endpoint : view.endpoints) {
        if (std::hash<std::string>{}(endpoint.id.str()) % m_options.part_count !=
            m_options.part_index)
            continue;
        listed.insert(endpoint.id);
        const auto [entry, added] = m_endpoints.try_emplace(endpoint.id);
        entry->second.target = endpoint;
        if (added) {
            entry->second.due = now;
            m_by_due_time.emplace(now, endpoint.id);
        }
    }
    std::erase_if(m_endpoints, [&](const auto& entry) { return !listed.contains(entry.first); });
    std::erase_if(m_by_due_time, [&](const auto& entry) { return !listed.contains(entry.second); });
}

absl::Time poll_schedule::next_due() const
{
    return m_by_due_time.empty() ? absl::InfiniteFuture() : m_by_due_time.begin()->first;
}

std::optional<poll_schedule::poll> poll_schedule::take_due(absl::Time now)
{
    if (next_due() > now)
        return std::nullopt;
    const endpoint_id id = m_by_due_time.begin()->second;
    m_by_due_time.erase(m_by_due_time.begin());
    scheduled_endpoint& scheduled = m_endpoints.at(id);
    scheduled.due = now + interval();
    m_by_due_time.emplace(scheduled.due, id);
    return poll{.target = scheduled.target, .after = scheduled.after};
}

bool poll_schedule::on_polled(const endpoint_id& endpoint, bool answered, std::uint64_t after)
{
    const auto scheduled = m_endpoints.find(endpoint);
    if (scheduled == m_endpoints.end())
        return false;
    if (answered) {
        scheduled->second.failures = 0;
        scheduled->second.after = after;
        return false;
    }
    return ++scheduled->second.failures == silent_after_failures;
}

absl::Duration poll_schedule::interval() const
{
    return std::max(m_options.interval,
                    m_options.min_gap * static_cast<std::int64_t>(m_endpoints.size()));
}

} // namespace chivedeal::requests
