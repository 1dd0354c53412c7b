#include "chivedeal/membership/endpoint_registry.hpp"

#include <set>

namespace chivedeal::membership {

namespace {

constexpr int omissions_until_gone = 2;

} // namespace

endpoint_registry::changes endpoint_registry::apply_list(const std::vector<endpoint>& list)
{
    changes out;
    std::set<endpoint_id> present;
    for (const endpoint& item : list) {
        present.insert(item.id);
        const auto [position, added] = m_entries.try_emplace(item.id);
        position->second = {.value = item, .omissions = 0};
        if (added)
            out.listed.push_back(item.id);
        if (item.status == endpoint_status::leaving && mark_leaving(item.id, item.reclaim_at))
            out.leaving.push_back(item.id);
    }
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        entry& known = position->second;
        if (present.contains(position->first) || ++known.omissions < omissions_until_gone) {
            ++position;
            continue;
        }
        out.gone.push_back(position->first);
        position = m_entries.erase(position);
    }
    return out;
}

bool endpoint_registry::mark_leaving(const endpoint_id& id, absl::Time reclaim_at)
{
    const auto [position, added] = m_leaving.try_emplace(id, reclaim_at);
    if (added)
        return true;
    if (position->second != absl::InfiniteFuture() || reclaim_at == absl::InfiniteFuture())
        return false;
    position->second = reclaim_at;
    return true;
}

std::vector<endpoint> endpoint_registry::endpoints() const
{
    std::vector<endpoint> out;
    out.reserve(m_entries.size());
    for (const auto& [id, known] : m_entries) {
        out.push_back(known.value);
        const auto mark = m_leaving.find(id);
        if (mark == m_leaving.end())
            continue;
        out.back().status = endpoint_status::leaving;
        out.back().reclaim_at = mark->second;
    }
    return out;
}

} // namespace chivedeal::membership
