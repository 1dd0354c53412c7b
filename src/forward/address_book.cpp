#include "chivedeal/forward/address_book.hpp"

#include <algorithm>

namespace chivedeal::forward {

void address_book::on_beacon(const node_beacon& beacon)
{
    m_entries[beacon.node] = {.front = beacon.front,
                              .region = beacon.region,
                              .takes_requests = beacon.ready && !beacon.leaving};
}

std::vector<address> address_book::ready_fronts(const region_id& region, std::size_t enough) const
{
    std::vector<address> near;
    std::vector<address> all;
    for (const auto& [node, one] : m_entries) {
        if (!one.takes_requests)
            continue;
        all.push_back(one.front);
        if (one.region == region)
            near.push_back(one.front);
    }
    return near.size() >= enough ? near : all;
}

int address_book::ready_count() const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& one) {
        return one.second.takes_requests;
    }));
}

} // namespace chivedeal::forward
