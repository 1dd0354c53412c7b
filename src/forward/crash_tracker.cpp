#include "chivedeal/forward/crash_tracker.hpp"

#include "chivedeal/forward/prompt_quarantine.hpp"

#include "absl/strings/str_cat.h"

namespace chivedeal::forward {

bool crash_tracker::on_request_lost(const endpoint_choice& endpoint,
                                    const std::vector<prompt_part>& prefix)
{
    lost_requests& lost = m_lost[endpoint.id];
    const bool is_first = lost.prefixes.empty();
    if (is_first)
        lost.incarnation = absl::StrCat(endpoint.id.str(), "@", endpoint.started_at_unix_ms);
    lost.prefixes.push_back(prefix);
    return is_first;
}

std::size_t crash_tracker::on_probed(const endpoint_id& endpoint, probe_result result,
                                     absl::Time now)
{
    const auto found = m_lost.find(endpoint);
    if (found == m_lost.end())
        return 0;
    const lost_requests lost = std::move(found->second);
    m_lost.erase(found);
    if (result != probe_result::refused)
        return 0;
    for (const std::vector<prompt_part>& prefix : lost.prefixes)
        m_quarantine.on_crash(lost.incarnation, prefix, now);
    return lost.prefixes.size();
}

} // namespace chivedeal::forward
