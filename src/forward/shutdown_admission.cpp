#include "chivedeal/forward/shutdown_admission.hpp"

#include "chivedeal/forward/route.hpp"

#include <iterator>
#include <set>
#include <string_view>

namespace chivedeal::forward {

void shutdown_admission::on_response(const std::string& route_name, absl::Duration response_time)
{
    m_response_times[route_name].add(response_time);
}

void shutdown_admission::retain(const std::vector<route>& routes)
{
    std::set<std::string_view> names;
    for (const route& known : routes)
        names.insert(known.name);
    for (auto entry = m_response_times.begin(); entry != m_response_times.end();)
        entry = names.count(entry->first) > 0 ? std::next(entry) : m_response_times.erase(entry);
}

void shutdown_admission::begin(absl::Time end, absl::Time callers_informed)
{
    m_end = end;
    m_callers_informed = callers_informed;
}

bool shutdown_admission::accepts(const route& matched, absl::Time give_up_at, absl::Time now) const
{
    if (give_up_at <= m_end)
        return true;
    if (matched.kind == route_kind::streaming && now >= m_callers_informed)
        return false;
    const auto known = m_response_times.find(matched.name);
    return known != m_response_times.end() && now + known->second.upper_bound() <= m_end;
}

} // namespace chivedeal::forward
