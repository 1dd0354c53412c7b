#ifndef CHIVEDEAL_FORWARD_ADDRESS_BOOK_HPP
#define CHIVEDEAL_FORWARD_ADDRESS_BOOK_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace chivedeal::forward {

/// The nodes whose addresses are handed out to callers.
class address_book
{
public:
    void on_beacon(const node_beacon& beacon);
    void on_lost(const node_id& node) { m_entries.erase(node); }

    /// Returns the front addresses of the ready nodes of `region`, or those of all regions when
    /// `region` has fewer than `min_count`.
    std::vector<address> ready_fronts(const region_id& region, std::size_t min_count) const;

    /// Returns the front addresses of the ready nodes of `region` and of the home regions.
    std::vector<address> ready_fronts(const region_id& region,
                                      const regions::home_regions& homes) const;

    /// Number of nodes heard of, whether or not they accept requests.
    int known_count() const { return static_cast<int>(m_entries.size()); }

    /// Number of nodes that accept requests.
    int ready_count() const;

private:
    struct entry
    {
        address front;
        region_id region;
        bool accepts_requests = false;
    };

    std::map<node_id, entry> m_entries;
};

} // namespace chivedeal::forward

#endif
