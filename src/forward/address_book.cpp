#include "chivedeal/forward/address_book.hpp"

#include <algorithm>

namespace chivedeal::forward {

void address_book::on_beacon(const node_beacon& beacon)
{
    m_entries[beacon.node] = {.front = beacon.front_address,
                              .region = beacon.region,
                              .accepts_requests = beacon.ready && !beacon.leaving};
}

std::vector<address> address_book::ready_fronts(const region_id& region,
                                                std::size_t min_count) const
{
    std::vector<address> in_region;
    std::vector<address> all;
    for (const auto& [node, candidate] : m_entries) {
        if (!candidate.accepts_requests)
            continue;
        all.push_back(candidate.front);
        if (candidate.region == region)
            in_region.push_back(candidate.front);
    }
    return in_region.size() >= min_count ? in_region : all;
}

std::vector<address> address_book::ready_fronts(const region_id& region,
                                                const regions::home_regions& homes) const
{
    std::vector<address> fronts;
    for (const auto& [node, candidate] : m_entries)
        if (candidate.accepts_requests &&
            (candidate.region == region || homes.allows(candidate.region)))
            fronts.push_back(candidate.front);
    return fronts;
}

int address_book::ready_count() const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) {
        return item.second.accepts_requests;
    }));
}

} // namespace chivedeal::forward
