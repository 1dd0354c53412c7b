#include "chivedeal/requests/poll_schedule.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <set>

namespace chivedeal::requests {

namespace {

constexpr int silent_after = 3;

} // namespace

poll_schedule::poll_schedule(options pace) : m_options(pace) {}

void poll_schedule::on_view(const membership::membership_view& view, absl::Time now)
{
    std::set<endpoint_id> listed;
    for (const membership::endpoint& one : view.endpoints) {
        if (std::hash<std::string>{}(one.id.str()) % m_options.parts != m_options.part)
            continue;
        listed.insert(one.id);
        const auto [place, added] = m_places.try_emplace(one.id);
        place->second.target = one;
        if (added) {
            place->second.due = now;
            m_order.emplace(now, one.id);
        }
    }
    std::erase_if(m_places, [&](const auto& one) { return !listed.contains(one.first); });
    std::erase_if(m_order, [&](const auto& one) { return !listed.contains(one.second); });
}

absl::Time poll_schedule::due() const
{
    return m_order.empty() ? absl::InfiniteFuture() : m_order.begin()->first;
}

std::optional<poll_schedule::poll> poll_schedule::next(absl::Time now)
{
    if (due() > now)
        return std::nullopt;
    const endpoint_id id = m_order.begin()->second;
    m_order.erase(m_order.begin());
    place& found = m_places.at(id);
    found.due = now + interval();
    m_order.emplace(found.due, id);
    return poll{.target = found.target, .after = found.after};
}

bool poll_schedule::on_polled(const endpoint_id& endpoint, bool answered, std::uint64_t after)
{
    const auto found = m_places.find(endpoint);
    if (found == m_places.end())
        return false;
    if (answered) {
        found->second.failures = 0;
        found->second.after = after;
        return false;
    }
    return ++found->second.failures == silent_after;
}

absl::Duration poll_schedule::interval() const
{
    return std::max(m_options.interval,
                    m_options.min_gap * static_cast<std::int64_t>(m_places.size()));
}

} // namespace chivedeal::requests
