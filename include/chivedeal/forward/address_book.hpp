#ifndef CHIVEDEAL_FORWARD_ADDRESS_BOOK_HPP
#define CHIVEDEAL_FORWARD_ADDRESS_BOOK_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/node_beacon.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace chivedeal::forward {

/// Which nodes callers are sent to.
class address_book
{
public:
    void on_beacon(const node_beacon& beacon);
    void on_lost(const node_id& node) { m_entries.erase(node); }

    /// Front addresses of ready nodes: those of `region` when there are `enough`, else all.
    std::vector<address> ready_fronts(const region_id& region, std::size_t enough) const;

    /// Nodes that take requests.
    int ready_count() const;

private:
    struct entry
    {
        address front;
        region_id region;
        bool takes_requests = false;
    };

    std::map<node_id, entry> m_entries;
};

} // namespace chivedeal::forward

#endif
